//! What requests are routed by.

use {
    citron_core::{
        id::{ServerName, ServiceName},
        ranges::PartitionedMap,
        registry::{ServerList, ServerRecord},
        routes::RouteConfig,
        slowstart::SlowStartGroup,
    },
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// All that control knows, as of one moment.
#[derive(Debug, Clone)]
pub struct View {
    /// The configuration in force.
    pub config: Arc<RouteConfig>,
    /// Servers that are known, by service; also those that leave.
    pub servers: BTreeMap<ServiceName, ServerList>,
    /// Owners of keys, by service.
    pub maps: BTreeMap<ServiceName, Arc<PartitionedMap>>,
    /// Instances that share the retry budget.
    pub instance_count: usize,
    /// Those of them whose loads this instance hears of.
    pub reporting_count: usize,
    /// Time between two reports of each of them.
    pub report_interval: Duration,
    /// Who sends to cold servers; nobody yet if this instance does not know the others.
    pub slow_start_group: Option<Arc<SlowStartGroup>>,
}

impl View {
    /// Servers of a service, in the order of their names.
    pub fn servers(&self, service: &ServiceName) -> &[Arc<ServerRecord>] {
        let servers = self.servers.get(service);
        servers.map_or(&[], |servers| servers.as_slice())
    }

    /// A server of a service.
    pub fn server(&self, service: &ServiceName, name: &ServerName) -> Option<&Arc<ServerRecord>> {
        let servers = self.servers(service);
        let index = servers.binary_search_by(|known| known.entry.name.cmp(name));
        index.ok().map(|index| &servers[index])
    }
}
