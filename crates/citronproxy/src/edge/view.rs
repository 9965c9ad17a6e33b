//! View by which requests are routed.

use {
    super::slots::BrokerCandidate,
    citron_core::{
        id::{ServerName, ServiceName},
        ranges::PartitionedMap,
        registry::{ServerList, ServerRecord},
        routes::RouteConfig,
        slowstart::SlowStartGroup,
    },
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

pub use citron_core::request::DetourPeer;

/// Snapshot of what the control thread knows, as of one moment.
#[derive(Debug, Clone)]
pub struct View {
    /// Configuration in force.
    pub config: Arc<RouteConfig>,
    /// Known servers by service, including those that are leaving.
    pub servers: BTreeMap<ServiceName, ServerList>,
    /// Owners of keys, by service.
    pub maps: BTreeMap<ServiceName, Arc<PartitionedMap>>,
    /// Number of instances that share the retry budget.
    pub instance_count: usize,
    /// Number of instances, including this one, that report their loads to this one.
    pub reporting_count: usize,
    /// Interval between two load reports of an instance.
    pub report_interval: Duration,
    /// Other instances through which requests may be sent.
    pub detours: Vec<DetourPeer>,
    /// Instances that may be brokers, this one included, ordered by name except for this one;
    /// empty if brokers are off.
    pub broker_candidates: Arc<[BrokerCandidate]>,
    /// Instances among which the request rate of cold servers is divided. While `None`,
    /// cold servers of services with slow start get no requests.
    pub slow_start_group: Option<Arc<SlowStartGroup>>,
}

impl View {
    /// Servers of a service, ordered by name.
    pub fn servers(&self, service: &ServiceName) -> &[Arc<ServerRecord>] {
        let servers = self.servers.get(service);
        servers.map_or(&[], |servers| servers.as_slice())
    }

    /// The server of that name in any service, if it is known.
    pub fn find_server(&self, name: &ServerName) -> Option<&Arc<ServerRecord>> {
        let mut services = self.servers.keys();
        services.find_map(|service| self.server(service, name))
    }

    /// The server of that name in a service, if it is known.
    pub fn server(&self, service: &ServiceName, name: &ServerName) -> Option<&Arc<ServerRecord>> {
        let servers = self.servers(service);
        let index = servers.binary_search_by(|known| known.entry.name.cmp(name));
        index.ok().map(|index| &servers[index])
    }
}
