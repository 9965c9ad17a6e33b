//! Load balancing: which keys to move, and to which server.

mod limits;
mod merge;
mod plan;
mod rebalance;

pub use {
    limits::{BalanceLimits, Capacity, Reassignment},
    plan::Balancer,
};
