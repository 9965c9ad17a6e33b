//! Entries that backend servers write about themselves.

use {
    crate::id::{DomainName, ServerName, ServiceName, Slots},
    std::{net::SocketAddr, time::Duration},
};

/// State that a server reports of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// The server takes requests.
    Ready,
    /// The server ends soon and should not get new requests.
    Leaving,
}

/// Operator's request about a failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Evacuation {
    /// No more requests are to be sent to the servers of the domain.
    Begun(DomainName),
    /// The servers of the domain take requests again.
    Ended(DomainName),
}

/// Entry of one backend server process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerEntry {
    /// The server's name. It differs between processes with the same id if the servers
    /// report when they started.
    pub name: ServerName,
    /// The service that the server belongs to.
    pub service: ServiceName,
    /// The address for requests and orders.
    pub address: SocketAddr,
    /// The server's failure domain.
    pub domain: DomainName,
    /// Number of requests that the server runs at a time.
    pub slots: Slots,
    /// The state that the server reports.
    pub state: ServerState,
    /// How much longer the server is slow after its start.
    pub warm_up: Duration,
}
