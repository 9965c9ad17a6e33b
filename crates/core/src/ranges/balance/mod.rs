//! Which keys should go from one server to another.

mod limits;
mod merge;
mod plan;
mod rebalance;

pub use {
    limits::{BalanceLimits, Capacity, Reassignment},
    plan::Balancer,
};
