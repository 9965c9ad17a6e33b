//! Capacities of backend servers, by which keys are distributed.

use citron_core::{
    dispatch::{LoadTracker, StatedLimits},
    ranges::{Capacity, LearnedLoads, Speed},
    registry::ServerRecord,
    slowstart::SlowStart,
    time::Time,
};

/// Run time of a request that is assumed before any was measured, in seconds.
const DEFAULT_RUN_SECS: f64 = 0.2;
/// Fraction of its speed that a cold server is expected to reach.
const COLD_SPEED_FACTOR: f64 = 0.5;

/// Speeds of servers whose run times were measured lately, relative to the mean of these.
pub fn measured_speeds(
    servers: &[&ServerRecord],
    loads: &LoadTracker,
    now: Time,
) -> Vec<Option<Speed>> {
    let run_times = run_times(servers, loads, now);
    let mean_run = mean_run_time(&run_times);
    let speeds = run_times
        .iter()
        .map(|run| run.map(|run| Speed::new(mean_run / run)));
    speeds.collect()
}

fn run_times(servers: &[&ServerRecord], loads: &LoadTracker, now: Time) -> Vec<Option<f64>> {
    let run_time = |known: &&ServerRecord| loads.get(&known.entry.name).run_time(now);
    servers.iter().map(run_time).collect()
}

fn mean_run_time(run_times: &[Option<f64>]) -> f64 {
    let measured: Vec<f64> = run_times.iter().copied().flatten().collect();
    match measured.len() {
        0 => DEFAULT_RUN_SECS,
        count => measured.iter().sum::<f64>() / count as f64,
    }
}

/// Computes the capacities of servers from stated limits and from their speeds: those measured
/// lately, or else those that former planners have `learned`. Cold servers that would crash
/// above a certain rate, and those that state a limit, receive no more keys.
pub fn capacities(
    servers: &[&ServerRecord],
    learned: &LearnedLoads,
    slow_start: Option<SlowStart>,
    loads: &LoadTracker,
    limits: &StatedLimits,
    now: Time,
) -> Vec<Capacity> {
    let mean_run = mean_run_time(&run_times(servers, loads, now));
    let speeds = measured_speeds(servers, loads, now);
    let capacity = |(known, speed): (&&ServerRecord, &Option<Speed>)| {
        let learned_speed = learned.speeds.get(&known.entry.name).copied();
        let speed = speed.or(learned_speed).unwrap_or(Speed::MEAN).get();
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
    servers.iter().zip(&speeds).map(capacity).collect()
}
