//! Load balancing: which keys to move, and to which server.

mod limits;
mod merge;
mod plan;
mod rebalance;
mod stripes;

pub use {
    limits::{BalanceLimits, Capacity, Reassignment},
    plan::Balancer,
};
