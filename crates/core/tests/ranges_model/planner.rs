//! Planner of the model: the real reconciler and its view of the store.

use citron_core::{
    id::ServerName,
    ranges::{Order, OrderOutcome, Reconciler},
    time::{StoreClock, Time},
};

/// One term of one instance as planner.
#[derive(Debug)]
pub struct Planner {
    pub number: u64,
    pub reconciler: Reconciler,
    /// Version of the map's row that the reconciler started from.
    pub version: u64,
    /// Whether it reaches the store.
    pub is_connected: bool,
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
