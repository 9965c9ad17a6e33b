//! Fenced grants to backend servers that check epochs.

use {
    super::Scope,
    crate::id::{Epoch, ServiceName},
    std::time::Duration,
};

/// Identifies one process of a backend server. A restarted server has lost its grants, so
/// a delayed grant meant for its previous process must not count.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct BootId(pub u64);

/// Whether a grant gives or withdraws ownership.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum GrantKind {
    /// The server owns the scope under this epoch.
    Own,
    /// The server runs no request of the scope under this epoch or a lower one.
    Revoke,
}

/// Grant or revocation of one scope, sent to a backend server. The server keeps the
/// highest epoch that it has seen of each scope and refuses grants with a lower one.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Grant {
    /// The service that the scope belongs to.
    pub service: ServiceName,
    /// The scope that is granted or revoked.
    pub scope: Scope,
    /// The fencing token.
    pub epoch: Epoch,
    /// Whether ownership is given or withdrawn.
    pub kind: GrantKind,
}

/// Lease under which a server may run requests of all scopes granted to it.
///
/// The end is a reading of the server's own clock, computed from an earlier reading that
/// the server sent. A delayed order therefore does not extend the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ServerLease {
    /// The server process that the clock reading belongs to.
    pub boot: BootId,
    /// The end of the lease, measured from the origin of the server's clock.
    pub until: Duration,
}

/// A server's answer to one grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantResult {
    /// The grant is in force.
    Accepted,
    /// The server has seen a higher epoch of the scope.
    Stale {
        /// The highest epoch seen.
        seen: Epoch,
    },
}

/// A server's answer to an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantReply {
    /// The server process that answers.
    pub boot: BootId,
    /// The server's clock at the time of the answer, measured from its origin.
    pub clock: Duration,
    /// One result for each grant, in the order of the grants.
    pub results: Vec<GrantResult>,
}
