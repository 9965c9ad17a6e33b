//! What servers can do.

use {
    citron_core::{
        dispatch::LoadTracker, ranges::Capacity, registry::ServerRecord, slowstart::SlowStart,
        time::Time,
    },
    std::time::Duration,
};

/// Servers that start together are listed within this time of one another.
const NEWEST_AGE_MIN: Duration = Duration::from_millis(1_000);
/// How long keys wait for more servers at most while callers ask for them.
const OLDEST_AGE_MAX_REQUESTED: Duration = Duration::from_secs(3);
/// The same while nobody does: thousands of servers take some seconds to be listed, and
/// those that come after the deal would get keys one by one.
const OLDEST_AGE_MAX_IDLE: Duration = Duration::from_secs(10);
/// Run time that is assumed of servers before any was measured, in seconds.
const DEFAULT_RUN_SECS: f64 = 0.2;
/// How far a server's speed may lie from its service's mean, as a factor: the
/// few samples of a start would else empty or flood a server.
const SPEED_RANGE: [f64; 2] = [0.35, 2.5];
/// What a server that has just started is taken to do, as a part.
const COLD_SPEED_FACTOR: f64 = 0.5;

/// Whether a service's servers seem to be complete: none is new, or the first
/// has waited long enough.
pub fn is_server_set_complete(servers: &[&ServerRecord], is_requested: bool, now: Time) -> bool {
    let ages = || servers.iter().map(|known| now - known.first_seen);
    let newest = ages().min().unwrap_or_default();
    let oldest = ages().max().unwrap_or_default();
    let oldest_max = if is_requested {
        OLDEST_AGE_MAX_REQUESTED
    } else {
        OLDEST_AGE_MAX_IDLE
    };
    newest > NEWEST_AGE_MIN || oldest > oldest_max
}

/// What servers can do, by the run times measured. Cold ones that would crash above a
/// rate take no more keys.
pub fn capacities(
    servers: &[&ServerRecord],
    slow_start: Option<SlowStart>,
    loads: &LoadTracker,
    now: Time,
) -> Vec<Capacity> {
    let servers: Vec<(&ServerRecord, Option<f64>)> = servers
        .iter()
        .map(|known| (*known, loads.get(&known.entry.name).run_time(now)))
        .collect();
    let run_times: Vec<f64> = servers.iter().filter_map(|(_, run)| *run).collect();
    let mean_run = match run_times.len() {
        0 => DEFAULT_RUN_SECS,
        count => run_times.iter().sum::<f64>() / count as f64,
    };
    let capacity = |(known, run): &(&ServerRecord, Option<f64>)| {
        let speed = (mean_run / run.unwrap_or(mean_run)).clamp(SPEED_RANGE[0], SPEED_RANGE[1]);
        let is_warm = known.remaining_warm_up(now).is_zero();
        let cold_factor = if is_warm { 1.0 } else { COLD_SPEED_FACTOR };
        let rate = f64::from(known.entry.slots.0) * speed * cold_factor / mean_run;
        let rate_limit = slow_start
            .filter(|_| !is_warm)
            .map(|slow_start| slow_start.rate.0);
        Capacity {
            server: known.entry.name.clone(),
            rate: rate.min(rate_limit.unwrap_or(f64::INFINITY)),
            accepts_keys: rate_limit.is_none(),
        }
    };
    servers.iter().map(capacity).collect()
}
