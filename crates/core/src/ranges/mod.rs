//! Assignment of an ordered key space to backend servers: the space is divided into
//! slices, each owned by one server under a lease.
//!
//! Servers check grants themselves and reject requests for keys they do not hold, so
//! instances route by this map without coordination: a stale map costs one rejected
//! attempt. Only the planner, a single elected instance, orders grants and releases.

mod balance;
mod balance_timer;
mod demand;
mod error;
mod fence;
mod key;
mod learned_loads;
mod leases;
mod map;
mod map_replica;
mod move_log;
mod partitions;
mod reconciler;
mod server_set;
mod tenure;
mod windows;

pub use {
    balance::{BalanceLimits, Balancer, Capacity, Reassignment},
    balance_timer::BalanceTimer,
    demand::{Demand, KeyDemand},
    error::RangeError,
    fence::{Fence, GrantRecord},
    key::{KeyRange, RangeKey},
    learned_loads::{DemandShares, LearnedLoads, LoadLearner, Speed},
    leases::{LeaseTimes, LeaseTracker},
    map::{RangeMap, Slice},
    map_replica::MapReplica,
    move_log::{MoveLog, MoveNotice, OwnerHint},
    partitions::{MapPartition, PartitionedMap, partition_ranges},
    reconciler::{
        EraStart, FreeReason, KeyEvent, KeyWait, Order, OrderOutcome, OwnerState, Owners,
        PlanScope, Probes, Reconciler, WaitReason,
    },
    server_set::is_server_set_complete,
    tenure::{Tenure, Witnesses, act_limit},
    windows::DemandWindows,
};
