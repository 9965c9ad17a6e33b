//! What a mover hears and what it asks for.

use {
    super::Grant,
    crate::{
        id::{Epoch, Incarnation, InstanceId, Revision, ServerName},
        table::Commit,
    },
};

/// An instance's word that it will route nothing of a scope under a revision
/// before `revision`, and that nothing that it sent so is still unanswered. It
/// gives it only once [`crate::membership::RelayedLeases::is_settled`] says so, too.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ack {
    /// The instance.
    pub instance: InstanceId,
    /// The start of it that speaks.
    pub incarnation: Incarnation,
    /// The revision in force there.
    pub revision: Revision,
}

/// What happened; the table itself is handed over with every step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MoveEvent {
    /// Time has passed, or the table may have changed.
    Tick,
    /// An instance has acknowledged.
    Acked(Ack),
    /// The old owner has accepted the revocation. Only for a server that checks
    /// epochs, and only once it runs nothing of the scope any more.
    Revoked {
        /// The epoch that it was revoked under.
        epoch: Epoch,
    },
    /// The old owner's process is surely gone, as an operator has stated or the
    /// server's host has shown. A refused connection does not show it: a
    /// server that drains closes its listener while it still runs requests.
    OwnerTerminated,
    /// The commit that was asked for has ended, with whatever answer or none.
    CommitEnded,
    /// The table was read from the platform, by a read begun after the commit
    /// had ended.
    Reread,
}

/// What the driver is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MoveAction {
    /// Send these orders to the old owner, without a lease.
    Revoke {
        /// The old owner.
        server: ServerName,
        /// The orders, all of them to be accepted.
        grants: Vec<Grant>,
    },
    /// Ask an instance to acknowledge.
    RequestAck {
        /// The instance.
        instance: InstanceId,
        /// The start of it that is listed.
        incarnation: Incarnation,
        /// The revision that it must have reached.
        revision: Revision,
    },
    /// Commit this, then report [`MoveEvent::CommitEnded`].
    Commit(Commit),
    /// Read the table from the platform, then report [`MoveEvent::Reread`].
    Reread,
    /// Grant the scope to its new owner; the move is already certain.
    Grant {
        /// The new owner.
        server: ServerName,
        /// The order.
        grant: Grant,
    },
    /// The last commit was read back; the operator may be told.
    Done {
        /// The new owner.
        owner: ServerName,
        /// Its epoch.
        epoch: Epoch,
    },
    /// The scope has moved on, under a later epoch; this mover has no more to do.
    Superseded,
}
