//! Rows of instances.

use {
    crate::id::{DomainName, Incarnation, InstanceId, Revision},
    std::net::SocketAddr,
};

/// Where an instance stands in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceState {
    /// Takes requests.
    Live,
    /// Finishes what it has.
    Leaving,
    /// Struck off by others: it may not act any more, and its row stays until
    /// its last leave to route has surely run out.
    Expelled,
}

/// One start of one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceRow {
    /// Its name.
    pub id: InstanceId,
    /// Which start of it.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: DomainName,
    /// Where it takes callers' requests.
    pub traffic_address: SocketAddr,
    /// Where it talks with other instances.
    pub peer_address: SocketAddr,
    /// Where it takes operators' requests.
    pub admin_address: SocketAddr,
    /// Where it stands in its life.
    pub state: InstanceState,
    /// The revision in force there when the row was written.
    pub revision: Revision,
}
