//! Planner of the model: the real reconciler and its view of the store.

use {
    crate::violation::Granter,
    citron_core::{
        id::{ServerName, StoreEra},
        ranges::{Order, OrderOutcome, Reconciler},
        time::{StoreClock, Time},
    },
};

/// Number of a claim of the leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Claim(pub u64);

/// One instance as planner, from its first claim on.
#[derive(Debug)]
pub struct Planner {
    pub number: u64,
    /// Its last claim.
    pub claim: Claim,
    /// Last claim that it has heard of.
    pub heard_claim: Claim,
    /// Era of its last claim.
    pub era: StoreEra,
    pub reconciler: Reconciler,
    /// Version of the map's row that the reconciler started from.
    pub version: u64,
    /// Whether it reaches the store.
    pub is_connected: bool,
    /// Whether no heartbeat of another instance reaches it.
    pub is_isolated: bool,
    /// Time of the last answer from the store.
    pub confirmed: Time,
    /// Its estimate of the store's clock.
    pub clock: StoreClock,
    /// Whether it has read that another instance leads.
    pub is_stopped: bool,
    /// Servers that it does not reach.
    pub unreachable: Vec<ServerName>,
    /// Servers that receive only its grants and whose answers are lost.
    pub one_way: Vec<ServerName>,
    /// Outcomes of orders that have not reached it yet, by arrival.
    pub outcomes: Vec<(Time, Order, OrderOutcome)>,
}

impl Planner {
    /// Sender of its grants.
    pub fn granter(&self) -> Granter {
        Granter {
            planner: self.number,
            claim: self.claim,
            era: self.era,
        }
    }
}
