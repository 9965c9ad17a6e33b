//! Rows of backend servers.

use {
    crate::id::{DomainName, ServerName, ServiceName, Slots, Weight},
    std::net::SocketAddr,
};

/// Administrative state of a backend server, as operators set it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// The server may own keys.
    Active,
    /// The server gets no new shards, and its shards move to other servers.
    Draining,
    /// The server owns nothing; its row is kept for reference.
    Retired,
}

/// Whether a backend server checks the fencing token of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fencing {
    /// The server rejects requests whose epoch is not the granted one.
    Checked,
    /// The server runs every request.
    Unchecked,
}

/// Row of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerRow {
    /// Name of the server.
    pub name: ServerName,
    /// The service that the server belongs to.
    pub service: ServiceName,
    /// The server's failure domain.
    pub domain: DomainName,
    /// Address at which the server accepts requests.
    pub address: SocketAddr,
    /// The server's weight in the load of the service.
    pub weight: Weight,
    /// Limit on requests per second, if an operator has set one.
    pub rate_cap: Option<u32>,
    /// Requests that the server runs concurrently.
    pub slots: Slots,
    /// Maximum number of connections that the server accepts from all instances together.
    pub max_connections: u32,
    /// Whether the server checks fencing tokens.
    pub fencing: Fencing,
    /// Administrative state.
    pub state: ServerState,
}
