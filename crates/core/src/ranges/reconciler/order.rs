//! Inputs and orders of the reconciler.

use crate::{
    id::{Epoch, ServerName},
    ranges::{KeyRange, RangeMap, Slice},
    time::Time,
};

/// Which moves a plan may start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlanScope {
    /// Whether keys that never had an owner may be assigned. Not before all servers have
    /// registered, or the first one would get every key.
    pub may_assign: bool,
    /// Whether keys may be moved to even out load.
    pub may_rebalance: bool,
}

/// State of the process that owns keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerState {
    /// Listed as ready.
    Serving,
    /// Listed as leaving, or no longer listed; it may still run requests.
    Leaving,
    /// This process has certainly ended: a later one with the same id or address is
    /// known, by the start times that both report. That one may have accepted grants meant
    /// for this one.
    Ended,
}

/// Source of the servers' states.
pub trait Owners {
    /// State of a server; `Leaving` if it was never listed.
    fn state(&self, server: &ServerName) -> OwnerState;

    /// Whether a server has an entry, though it may be leaving: it runs, as far as is known.
    fn is_registered(&self, server: &ServerName) -> bool {
        self.state(server) == OwnerState::Serving
    }
}

/// Action for the caller to carry out. Its outcome is passed to
/// [`super::Reconciler::complete`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Grant a slice to its owner for the duration of a lease.
    Grant {
        /// The slice.
        slice: Slice,
        /// When the grant was ordered, which tells it from others of the same slice.
        ordered_at: Time,
    },
    /// Have a server release keys, under an epoch above that of its grant.
    Release {
        /// The server.
        server: ServerName,
        /// The keys.
        range: KeyRange,
        /// Epoch of the next owner.
        epoch: Epoch,
    },
    /// Have a server that holds no keys show that it takes orders. Its outcome is passed to
    /// [`super::Probes::complete`].
    Probe {
        /// The server.
        server: ServerName,
    },
    /// Write the map to the store, unless another writer has changed it.
    Commit(RangeMap),
}

/// Outcome of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It took effect. A release may return state that the server held in memory.
    Done {
        /// State for the next owner.
        handover: Option<String>,
    },
    /// The grant was rejected because the server has seen a higher epoch.
    Outdated,
    /// It is unknown whether it took effect or still will.
    Unknown,
    /// It was certainly not sent.
    NotSent,
}
