//! Rows of backend servers.

use {
    crate::id::{DomainName, ServerName, ServiceName, Slots, Weight},
    std::net::SocketAddr,
};

/// Whether an operator wants work on a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// Owns keys.
    Active,
    /// Gets no new work; its shards move away.
    Draining,
    /// Owns nothing and is kept for the record.
    Retired,
}

/// Whether a backend server checks the fencing token of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fencing {
    /// It refuses requests whose epoch is not the one granted.
    Checked,
    /// It runs whatever it is given.
    Unchecked,
}

/// A backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerRow {
    /// Its name.
    pub name: ServerName,
    /// The service it serves.
    pub service: ServiceName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its share of the service's load.
    pub weight: Weight,
    /// Requests a second it may get, if an operator caps it.
    pub rate_cap: Option<u32>,
    /// Requests it runs at a time.
    pub slots: Slots,
    /// Connections it bears from all instances together.
    pub max_connections: u32,
    /// Whether it checks fencing tokens.
    pub fencing: Fencing,
    /// What the operator wants of it.
    pub state: ServerState,
}
