//! Fenced grants to backend servers that check them.

use {
    super::Scope,
    crate::id::{Epoch, ServiceName},
    std::time::Duration,
};

/// Tells two starts of a backend server apart: a restarted one has forgotten
/// its grants, so a late grant meant for its earlier start must not count.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct BootId(pub u64);

/// Whether a grant gives or takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum GrantKind {
    /// The server owns the scope under this epoch.
    Own,
    /// The server runs nothing of the scope below this epoch or under it.
    Revoke,
}

/// One order to a backend server. It keeps the highest epoch it has seen of a
/// scope, and refuses a grant below that.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Grant {
    /// The service.
    pub service: ServiceName,
    /// What is granted or revoked.
    pub scope: Scope,
    /// The fencing token.
    pub epoch: Epoch,
    /// Whether the order gives or takes.
    pub kind: GrantKind,
}

/// Until when a server may run requests under all its grants.
///
/// The end is a reading of the server's own clock, worked out from one that the
/// server sent before: however long the order is under way, it ends no later.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ServerLease {
    /// The start of the server that the clock reading belongs to.
    pub boot: BootId,
    /// The end, since the origin of the server's clock.
    pub until: Duration,
}

/// What a server makes of one grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantResult {
    /// It is in force.
    Accepted,
    /// The server has seen a higher epoch of the scope.
    Stale {
        /// The highest epoch it has seen.
        seen: Epoch,
    },
}

/// A server's answer to orders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantReply {
    /// The server's start.
    pub boot: BootId,
    /// The server's clock when it answered, since its origin.
    pub clock: Duration,
    /// One result a grant, in the order of the grants.
    pub results: Vec<GrantResult>,
}
