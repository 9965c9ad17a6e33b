//! Keys as an ordered space that is cut into slices, each owned by one backend
//! server under a lease.
//!
//! Servers that check grants refuse what they do not hold, so no instance needs
//! leave to route by this map: a stale one costs a refused try. Only the
//! planner, one instance at a time, orders grants and releases.

mod balance;
mod book;
mod demand;
mod error;
mod even;
mod key;
mod map;
mod news;
mod parts;
mod reconciler;
mod windows;

pub use {
    balance::{Balance, BalanceLimits, Capacity, Shift},
    book::{LeaseBook, LeaseTimes},
    demand::{Demand, KeyDemand},
    error::RangeError,
    even::EvenClock,
    key::{KeyRange, RangeKey},
    map::{RangeMap, Slice},
    news::{MoveLog, MoveNews, OwnerHint},
    parts::{MapPart, PartedMap, partition},
    reconciler::{Order, OrderEnd, OwnerState, Owners, Reconciler, Scope},
    windows::DemandWindows,
};
