//! What a backend server writes of itself.

use {
    crate::id::{DomainName, ServerName, ServiceName, Slots},
    std::{net::SocketAddr, time::Duration},
};

/// What a server says of its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// It takes requests.
    Ready,
    /// It ends soon and is to get no new ones.
    Leaving,
}

/// What operators ask for a failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Evacuation {
    /// Nothing more is to be sent to its servers.
    Begun(DomainName),
    /// Its servers take requests again.
    Ended(DomainName),
}

/// One start of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerEntry {
    /// The name of this start; another start has another name, or its moment.
    pub name: ServerName,
    /// Its service.
    pub service: ServiceName,
    /// Where it takes requests and orders.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Requests that it runs at a time.
    pub slots: Slots,
    /// What it says of its life.
    pub state: ServerState,
    /// How much longer it is slow after its start.
    pub warm_up: Duration,
}
