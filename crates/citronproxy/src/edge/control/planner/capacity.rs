//! Capacities of backend servers, by which keys are distributed.

use citron_core::{
    dispatch::{LoadTracker, StatedLimits},
    ranges::Capacity,
    registry::ServerRecord,
    slowstart::SlowStart,
    time::Time,
};

/// Run time of a request that is assumed before any was measured, in seconds.
const DEFAULT_RUN_SECS: f64 = 0.2;
/// Bounds of a server's speed relative to the mean of its service. Without them, the few
/// samples taken right after a start would leave a server without keys or overload it.
const SPEED_RANGE: [f64; 2] = [0.35, 2.5];
/// Fraction of its speed that a cold server is expected to reach.
const COLD_SPEED_FACTOR: f64 = 0.5;

/// Computes the capacities of servers from measured run times and stated limits. Cold
/// servers that would crash above a certain rate, and those that state a limit, receive no
/// more keys.
pub fn capacities(
    servers: &[&ServerRecord],
    slow_start: Option<SlowStart>,
    loads: &LoadTracker,
    limits: &StatedLimits,
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
        let cold_limit = slow_start
            .filter(|_| !is_warm)
            .map(|slow_start| slow_start.rate.0);
        let stated_limit = limits.limit(&known.entry.name, now).map(|limit| limit.0);
        let rate_limit = cold_limit.into_iter().chain(stated_limit).reduce(f64::min);
        Capacity {
            server: known.entry.name.clone(),
            rate: rate.min(rate_limit.unwrap_or(f64::INFINITY)),
            accepts_keys: rate_limit.is_none(),
        }
    };
    servers.iter().map(capacity).collect()
}
