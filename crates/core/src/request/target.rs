//! Where a request may be sent.

use {
    crate::{
        dispatch::{PermitRequest, RejectReason},
        id::{Epoch, InstanceId, ServerName},
        registry::ServerRecord,
        time::Time,
    },
    std::{fmt, net::SocketAddr, ops::Range, sync::Arc, time::Duration},
};

/// Jitter factor of Retry-After. Without it, clients rejected together would return
/// together.
pub const RETRY_JITTER: Range<f64> = 0.85..1.15;

/// Result of the selection.
#[derive(Debug)]
pub enum Target {
    /// Send the request to this server.
    Server(Arc<ServerRecord>),
    /// Send the request to this server if its broker grants a slot.
    BrokeredServer(Arc<ServerRecord>),
    /// Send the request to this server if there is a permit for it.
    LimitedServer(Arc<ServerRecord>, PermitRequest),
    /// Reject the request with this Retry-After.
    Reject(Duration, Overload),
    /// The key is moving to another server.
    KeyMoving,
    /// No server of the service is available, or none will own the key soon.
    Unavailable,
}

/// Reason for which a request is rejected. The text is sent in the body of the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Overload {
    /// No server has capacity.
    Servers(RejectReason),
    /// The concurrency limit of this instance at the service is reached.
    ConcurrencyLimit,
    /// This instance's share of the requests to cold servers is used up.
    ColdServers,
    /// The servers state limits on their requests, which other requests use up.
    StatedLimits,
}

impl Overload {
    /// Whether the request may find capacity if it waits for a moment.
    ///
    /// ```
    /// use citron_core::{dispatch::RejectReason, request::Overload};
    /// assert!(Overload::ColdServers.may_end_soon());
    /// assert!(!Overload::Servers(RejectReason::Resting).may_end_soon());
    /// ```
    pub fn may_end_soon(self) -> bool {
        match self {
            Self::Servers(reason) => reason.may_end_soon(),
            Self::StatedLimits => false,
            Self::ConcurrencyLimit | Self::ColdServers => true,
        }
    }
}

impl fmt::Display for Overload {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Servers(reason) => reason.fmt(f),
            Self::ConcurrencyLimit => f.write_str("over the limit that late answers set"),
            Self::ColdServers => f.write_str("cold servers take no more now"),
            Self::StatedLimits => f.write_str("servers limit their requests"),
        }
    }
}

/// Owner that rejected a request for its key: it has released the key, or its grant has
/// not arrived yet.
#[derive(Debug)]
pub struct StaleOwner {
    /// Name of the server.
    pub owner: ServerName,
    /// Epoch of the map entry that named the server as the owner.
    pub epoch: Epoch,
    /// Time at which the request may be sent to the server again under the same epoch.
    pub retry_at: Time,
}

/// Another instance through which requests may be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DetourPeer {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Address on which it takes requests of other instances.
    pub address: SocketAddr,
    /// Whether it is in the failure domain of this instance.
    pub is_near: bool,
}
