//! The owner of one shard or of one key that was taken out of its shard.

use crate::id::{Epoch, ServerName};

/// Where an assignment stands between two owners.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// The owner runs requests of the shard.
    Owned,
    /// The owner gets no new request; `to` owns the shard once it is certain
    /// that the old owner runs nothing more.
    Releasing {
        /// The owner to be.
        to: ServerName,
    },
}

/// Who owns a shard.
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
    /// The backend server that owns the shard.
    pub owner: ServerName,
    /// Fencing token of this phase; a release already carries the next one.
    pub epoch: Epoch,
    /// Where the shard stands between two owners.
    pub phase: Phase,
}

impl Assignment {
    /// An assignment at rest.
    pub fn owned(owner: ServerName, epoch: Epoch) -> Self {
        Self {
            owner,
            epoch,
            phase: Phase::Owned,
        }
    }

    /// Who owns the scope once no move is under way.
    pub fn next_owner(&self) -> &ServerName {
        match &self.phase {
            Phase::Owned => &self.owner,
            Phase::Releasing { to } => to,
        }
    }

    /// Whether requests may be sent to the owner.
    pub fn is_routable(&self) -> bool {
        self.phase == Phase::Owned
    }
}
