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
    balance::{BalanceLimits, Balancer, Capacity, Reassignment},
    balance_timer::BalanceTimer,
    demand::{Demand, KeyDemand},
    error::RangeError,
    key::{KeyRange, RangeKey},
    leases::{LeaseTimes, LeaseTracker},
    map::{RangeMap, Slice},
    move_log::{MoveLog, MoveNotice, OwnerHint},
    partitions::{MapPartition, PartitionedMap, partition_ranges},
    reconciler::{Order, OrderOutcome, OwnerState, Owners, PlanScope, Reconciler},
    windows::DemandWindows,
};
