//! Service-level objectives: what was counted, and how fast it burns budgets.

mod burn;
mod minute;
mod reachability;
mod report;
mod series;
mod tally;

pub use {
    burn::{Alert, BurnRule, FAST, SLOW, Window, burn_rate},
    minute::Minute,
    reachability::{Reach, moved_shards},
    report::{Burns, ServiceReport},
    series::Record,
    tally::Tally,
};
