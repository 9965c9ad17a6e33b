//! Clusters: the configuration of services.

use {
    crate::{id::ServiceName, slowstart::SlowStart},
    std::time::Duration,
};

/// Cluster of backend servers that form a service, as an operator configures it.
#[derive(Debug, Clone, PartialEq)]
pub struct Cluster {
    /// Name of the service.
    pub name: ServiceName,
    /// Whether the servers own keys, so that each request has exactly one target.
    pub is_sharded: bool,
    /// Maximum number of connections that one server accepts from all instances together.
    pub max_connections: u32,
    /// Path of the servers' health check, whose response also identifies the server.
    pub health_path: String,
    /// How long requests for a key are slow at a server that received the key without a
    /// handover.
    pub warm_up: Duration,
    /// Slow start of the servers; `None` if they can take full load immediately.
    pub slow_start: Option<SlowStart>,
}
