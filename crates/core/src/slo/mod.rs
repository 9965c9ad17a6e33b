//! Service-level objectives: request counts, reachability of shards, and burn rates of
//! error budgets.

mod burn;
mod minute;
mod reachability;
mod report;
mod series;
mod tally;

pub use {
    burn::{Alert, BurnRule, FAST_BURN, SLOW_BURN, WindowMinutes, burn_rate},
    minute::Minute,
    reachability::{Reachability, moved_shards},
    report::{BurnRates, ServiceReport},
    series::TallySeries,
    tally::Tally,
};
