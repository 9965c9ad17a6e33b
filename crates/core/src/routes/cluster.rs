//! What an operator set for a service.

use {
    crate::{id::ServiceName, slowstart::SlowStart},
    std::time::Duration,
};

/// A service as routes name it.
#[derive(Debug, Clone, PartialEq)]
pub struct Cluster {
    /// Its name.
    pub name: ServiceName,
    /// Whether its servers hold keys, so that each request has one owner.
    pub is_sharded: bool,
    /// Connections that one server takes from all instances together.
    pub max_connections: u32,
    /// The path at which a server tells whether it is well, and which one it is.
    pub health_path: String,
    /// How long keys are slow at a server that got them without a handover.
    pub warm_up: Duration,
    /// How its servers warm up; `None` if they take full load from their start.
    pub slow_start: Option<SlowStart>,
}
