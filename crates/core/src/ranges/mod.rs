//! Keys as an ordered space that is cut into slices, each owned by one backend
//! server under a lease.
//!
//! Servers that check grants refuse what they do not hold, so no instance needs
//! leave to route by this map: a stale one costs a refused try. Only the
//! planner, one instance at a time, orders grants and releases.

mod balance;
mod balance_timer;
mod demand;
mod error;
mod key;
mod leases;
mod map;
mod move_log;
mod partitions;
mod reconciler;
mod windows;

pub use {
    balance::{Balance, BalanceLimits, Capacity, Shift},
    balance_timer::EvenClock,
    demand::{Demand, KeyDemand},
    error::RangeError,
    key::{KeyRange, RangeKey},
    leases::{LeaseBook, LeaseTimes},
    map::{RangeMap, Slice},
    move_log::{MoveLog, MoveNews, OwnerHint},
    partitions::{MapPart, PartedMap, partition},
    reconciler::{Order, OrderEnd, OwnerState, Owners, Reconciler, Scope},
    windows::DemandWindows,
};
