//! Rows of instances.

use {
    crate::id::{DomainName, Incarnation, InstanceId, Revision},
    std::net::SocketAddr,
};

/// Lifecycle state of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceState {
    /// The instance accepts requests.
    Live,
    /// The instance is shutting down and only completes requests in flight.
    Leaving,
    /// Other instances have expelled the instance. It must not act any more, and its row
    /// is kept until its last permission to route has certainly expired.
    Expelled,
}

/// Row of an instance, written by one process start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceRow {
    /// Name of the instance.
    pub id: InstanceId,
    /// The process start.
    pub incarnation: Incarnation,
    /// The instance's failure domain.
    pub domain: DomainName,
    /// Address at which the instance accepts callers' requests.
    pub traffic_address: SocketAddr,
    /// Address for other instances.
    pub peer_address: SocketAddr,
    /// Address at which the instance accepts operators' requests.
    pub admin_address: SocketAddr,
    /// Lifecycle state.
    pub state: InstanceState,
    /// The table revision in use at the instance when the row was written.
    pub revision: Revision,
}
