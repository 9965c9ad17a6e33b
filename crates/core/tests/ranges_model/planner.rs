//! A planner: the product's reconciler, and what it knows of the store.

use citron_core::{
    id::ServerName,
    ranges::{Order, OrderOutcome, Reconciler},
    time::{StoreClock, Time},
};

/// One term of one instance.
#[derive(Debug)]
pub struct Planner {
    pub number: u64,
    pub reconciler: Reconciler,
    /// Version of the map's row that the reconciler goes by.
    pub version: u64,
    /// Whether the store reaches it.
    pub connected: bool,
    /// When the store last answered it.
    pub confirmed: Time,
    /// What it knows of the store's clock.
    pub clock: StoreClock,
    /// Whether it has read that another leads.
    pub stopped: bool,
    /// Servers that it does not reach.
    pub unreachable: Vec<ServerName>,
    /// Servers that get its grants only, and whose answers are lost.
    pub one_way: Vec<ServerName>,
    /// Ends that are still on their way to it.
    pub outcomes: Vec<(Time, Order, OrderOutcome)>,
}
