//! The assignment of a scope to a backend server.

use crate::id::{Epoch, ServerName};

/// State of an assignment between two owners.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// The owner runs requests of the scope.
    Owned,
    /// The owner gets no new requests. `to` becomes the owner once the old owner is
    /// certain to run none of the scope's requests any more.
    Releasing {
        /// The next owner.
        to: ServerName,
    },
}

/// Assignment of a scope to a backend server.
///
/// ```
/// use citron_core::{id::Epoch, ownership::{Assignment, Phase}};
/// let owned = Assignment::owned("server-1".parse().unwrap(), Epoch(3));
/// assert!(owned.is_routable());
/// let moving = Assignment { phase: Phase::Releasing { to: "server-2".parse().unwrap() }, ..owned };
/// assert!(!moving.is_routable());
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// The backend server that owns the scope.
    pub owner: ServerName,
    /// Fencing token of this phase. A release already carries the epoch under which the
    /// next owner will own the scope.
    pub epoch: Epoch,
    /// Whether the scope is owned or being released.
    pub phase: Phase,
}

impl Assignment {
    /// Creates an assignment without a move in progress.
    pub fn owned(owner: ServerName, epoch: Epoch) -> Self {
        Self {
            owner,
            epoch,
            phase: Phase::Owned,
        }
    }

    /// Returns the owner once the current move, if any, is complete.
    pub fn next_owner(&self) -> &ServerName {
        match &self.phase {
            Phase::Owned => &self.owner,
            Phase::Releasing { to } => to,
        }
    }

    /// Returns whether requests may be sent to the owner.
    pub fn is_routable(&self) -> bool {
        self.phase == Phase::Owned
    }
}
