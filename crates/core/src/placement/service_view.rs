//! What the planner looks at.

use {
    super::Load,
    crate::{
        id::{ServerName, Weight},
        ownership::Scope,
        table::MoveBudget,
        time::Time,
    },
    std::time::Duration,
};

/// How long a cold server takes to get its whole share.
const WARMUP_TIME: Duration = Duration::from_secs(60);
/// The share that a cold server begins with, in percent of its weight.
const COLD_SHARE_PERCENT: u64 = 20;

/// A server that may own shards: reachable, active and not leaving.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Its name.
    pub name: ServerName,
    /// Its share.
    pub weight: Weight,
    /// How much of its share it may get yet, in percent; see [`warmup_percent`].
    pub warmup_percent: u64,
    /// Requests a second it may get.
    pub rate_cap: Option<u32>,
}

/// One shard or hot key, and the work it makes.
#[derive(Debug, Clone)]
pub struct ScopeLoad {
    /// Which.
    pub scope: Scope,
    /// Its owner, if it has one.
    pub owner: Option<ServerName>,
    /// Measured work.
    pub load: Load,
    /// Measured requests a second.
    pub rate: u32,
    /// Whether it is changing hands already.
    pub is_moving: bool,
}

/// One service as it is now. The order of servers and scopes does not matter.
#[derive(Debug, Clone)]
pub struct ServiceView {
    /// Servers that may own.
    pub servers: Vec<Candidate>,
    /// All shards and hot keys of the service.
    pub scopes: Vec<ScopeLoad>,
    /// How fast shards may move for balance.
    pub move_budget: MoveBudget,
}

/// How much of its share a server may get, in percent, so that a cold one is
/// not flooded.
///
/// ```
/// use {citron_core::{placement::warmup_percent, time::Time}, std::time::Duration};
/// let start = Time::ZERO;
/// assert_eq!(warmup_percent(start, start), 20);
/// assert_eq!(warmup_percent(start, start + Duration::from_secs(30)), 60);
/// assert_eq!(warmup_percent(start, start + Duration::from_secs(90)), 100);
/// ```
pub fn warmup_percent(start: Time, now: Time) -> u64 {
    let age = (now - start).min(WARMUP_TIME);
    let grown =
        (100 - COLD_SHARE_PERCENT) * age.as_millis() as u64 / WARMUP_TIME.as_millis() as u64;
    COLD_SHARE_PERCENT + grown
}
