//! Input of the planner.

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

/// How long a server that was started is given less than its whole share.
const WARMUP_TIME: Duration = Duration::from_secs(60);
/// Share of a server at its start, in percent of its weight.
const COLD_SHARE_PERCENT: u64 = 20;

/// A server that may own scopes: it is reachable, active and not leaving.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The server's name.
    pub name: ServerName,
    /// The server's weight, which sets its share of the load.
    pub weight: Weight,
    /// Part of its share that the server may get, in percent; see [`warmup_percent`].
    pub warmup_percent: u64,
    /// The requests per second that the server may get, if limited.
    pub rate_cap: Option<u32>,
}

/// A shard or hot key with its measured load.
#[derive(Debug, Clone)]
pub struct ScopeLoad {
    /// The shard or hot key.
    pub scope: Scope,
    /// The current owner, if any.
    pub owner: Option<ServerName>,
    /// Measured load.
    pub load: Load,
    /// Measured requests per second.
    pub rate: u32,
    /// Whether a move of the scope is in progress.
    pub is_moving: bool,
}

/// Current state of one service. The order of servers and scopes does not matter.
#[derive(Debug, Clone)]
pub struct ServiceView {
    /// The servers that may own scopes.
    pub servers: Vec<Candidate>,
    /// All shards and hot keys of the service.
    pub scopes: Vec<ScopeLoad>,
    /// Limits of the moves for balance.
    pub move_budget: MoveBudget,
}

/// Returns the part of its share that a server may get, in percent. It grows from the
/// server's start, so that a cold server is not overloaded.
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
