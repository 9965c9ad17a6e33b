//! Events that a mover takes and actions that it returns.

use {
    super::Grant,
    crate::{
        id::{Epoch, Incarnation, InstanceId, Revision, ServerName},
        table::Commit,
    },
};

/// Acknowledgement of an instance: it sends no more requests of the scope under
/// revisions before `revision`, and all requests that it sent under them are answered. It
/// acknowledges only once [`crate::membership::RelayedLeases::is_settled`] holds too.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ack {
    /// The acknowledging instance.
    pub instance: InstanceId,
    /// The incarnation of the instance that acknowledges.
    pub incarnation: Incarnation,
    /// The revision that the instance routes by.
    pub revision: Revision,
}

/// Input of a mover. The current table is passed to every step separately.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MoveEvent {
    /// Time has passed, or the table may have changed.
    Tick,
    /// An instance has acknowledged the release.
    Acked(Ack),
    /// The old owner has accepted the revocation. Reported only for a server that checks
    /// epochs, and only once the server runs no request of the scope any more.
    Revoked {
        /// The epoch of the revocation.
        epoch: Epoch,
    },
    /// The old owner's process has certainly ended, as stated by an operator or shown by
    /// the server's host. A refused connection is no proof: a draining server closes its
    /// listener while it still runs requests.
    OwnerTerminated,
    /// The requested commit has ended, with any answer or none.
    CommitEnded,
    /// The table was read from the platform, by a read that started after the commit had
    /// ended.
    Reread,
}

/// Action that the caller of a mover has to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MoveAction {
    /// Send these grants to the old owner, without a lease.
    Revoke {
        /// The old owner.
        server: ServerName,
        /// The revocation of the scope and, for a key that was just extracted, the grant or
        /// revocation of its shard under the new epoch. The server must accept all of them.
        grants: Vec<Grant>,
    },
    /// Ask an instance to acknowledge the release.
    RequestAck {
        /// The instance.
        instance: InstanceId,
        /// The listed incarnation of the instance.
        incarnation: Incarnation,
        /// The revision that the instance must have reached.
        revision: Revision,
    },
    /// Commit this, then report [`MoveEvent::CommitEnded`].
    Commit(Commit),
    /// Read the table from the platform, then report [`MoveEvent::Reread`].
    Reread,
    /// Grant the scope to its new owner. The table already shows the new owner.
    Grant {
        /// The new owner.
        server: ServerName,
        /// The grant.
        grant: Grant,
    },
    /// The last commit was read back, so the move may be reported as done.
    Done {
        /// The new owner.
        owner: ServerName,
        /// The epoch under which the new owner owns the scope.
        epoch: Epoch,
    },
    /// The table shows a later epoch of the scope. This mover has nothing more to do.
    Superseded,
}
