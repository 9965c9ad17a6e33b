//! What the planner is told, and what it asks for.

use crate::{
    id::{Epoch, ServerName},
    ranges::{KeyRange, RangeMap, Slice},
};

/// What may be begun at a tick.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlanScope {
    /// Whether keys that never had an owner are dealt out: not before the
    /// servers have all shown up, or the first one would get everything.
    pub may_assign: bool,
    /// Whether keys may move for balancer.
    pub may_rebalance: bool,
}

/// What is known of the owner of keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerState {
    /// It is listed as ready.
    Serving,
    /// It is listed as leaving, or listed no more; it may still run requests.
    Leaving,
    /// This start of it has surely ended: a later one is known, by the moments
    /// that both tell, under its id or at its address.
    Ended,
}

/// What the planner knows of servers.
pub trait Owners {
    /// The state of a server; one that was never listed is leaving.
    fn state(&self, server: &ServerName) -> OwnerState;
}

/// Something to be done outside; each is answered with [`super::Reconciler::complete`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Let a server hold keys for the span of a lease.
    Grant(Slice),
    /// Make a server give keys up, under an epoch above that of its grant.
    Release {
        /// The server.
        server: ServerName,
        /// The keys.
        range: KeyRange,
        /// The epoch under which the next owner will have them.
        epoch: Epoch,
    },
    /// Write the map to the store, unless somebody else has changed it.
    Commit(RangeMap),
}

/// What became of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It took effect; a release may hand over what the server has in memory.
    Done {
        /// For the next owner.
        handover: Option<String>,
    },
    /// A grant was refused because the server has seen a higher epoch.
    Outdated,
    /// It is not known whether it took effect, or ever will.
    Unknown,
    /// It has surely not left.
    NotSent,
}
