//! What requests are routed by.

use {
    citron_core::{
        id::{ServerName, ServiceName},
        ranges::RangeMap,
        registry::Known,
        routes::RouteConfig,
        slowstart::Group,
    },
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// All that control knows, as of one moment.
#[derive(Debug, Clone)]
pub struct View {
    /// The configuration in force.
    pub config: Arc<RouteConfig>,
    /// Servers that are known, by service; also those that leave.
    pub servers: Arc<BTreeMap<ServiceName, Vec<Known>>>,
    /// Owners of keys, by service.
    pub maps: BTreeMap<ServiceName, Arc<RangeMap>>,
    /// Instances that share the retry budget.
    pub instances: usize,
    /// Those of them whose loads this instance hears of.
    pub reporting: usize,
    /// Time between two reports of each of them.
    pub reports: Duration,
    /// Who sends to cold servers; nobody yet if this instance does not know the others.
    pub group: Option<Arc<Group>>,
}

impl View {
    /// Servers of a service.
    pub fn servers(&self, service: &ServiceName) -> &[Known] {
        self.servers.get(service).map_or(&[], Vec::as_slice)
    }

    /// A server of a service.
    pub fn server(&self, service: &ServiceName, name: &ServerName) -> Option<&Known> {
        let mut servers = self.servers(service).iter();
        servers.find(|known| known.entry.name == *name)
    }
}
