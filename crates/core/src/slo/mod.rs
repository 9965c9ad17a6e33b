//! Service-level objectives: what was counted, and how fast it burns budgets.

mod burn;
mod minute;
mod reach;
mod record;
mod report;
mod tally;

pub use {
    burn::{Alert, BurnRule, FAST, SLOW, Window, burn_rate},
    minute::Minute,
    reach::{Reach, moved_shards},
    record::Record,
    report::{Burns, ServiceReport},
    tally::Tally,
};
