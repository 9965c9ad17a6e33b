//! What servers can do.

use {
    citron_core::{
        dispatch::LoadBook, ranges::Capacity, registry::Known, slowstart::SlowStart, time::Time,
    },
    std::time::Duration,
};

/// Servers that start together are listed within this time of one another.
const NEWEST: Duration = Duration::from_millis(1_000);
/// How long keys wait for more servers at most while callers ask for them.
const OLDEST_ASKED: Duration = Duration::from_secs(3);
/// The same while nobody does: thousands of servers take some seconds to be listed, and
/// those that come after the deal would get keys one by one.
const OLDEST_IDLE: Duration = Duration::from_secs(10);
/// Run time that is assumed of servers before any was measured, in seconds.
const RUN: f64 = 0.2;
/// How far a server's speed may lie from its service's mean, as a factor: the
/// few samples of a start would else empty or flood a server.
const SPEEDS: [f64; 2] = [0.35, 2.5];
/// What a server that has just started is taken to do, as a part.
const COLD: f64 = 0.5;

/// Whether a service's servers seem to be complete: none is new, or the first
/// has waited long enough.
pub fn have_shown_up(servers: &[&Known], is_asked: bool, now: Time) -> bool {
    let ages = || servers.iter().map(|known| now - known.seen);
    let newest = ages().min().unwrap_or_default();
    let oldest = ages().max().unwrap_or_default();
    let most = if is_asked { OLDEST_ASKED } else { OLDEST_IDLE };
    newest > NEWEST || oldest > most
}

/// What servers can do, by the run times measured. Cold ones that would crash above a
/// rate take no more keys.
pub fn capacities(
    servers: &[&Known],
    slow: Option<SlowStart>,
    loads: &LoadBook,
    now: Time,
) -> Vec<Capacity> {
    let servers: Vec<(&Known, Option<f64>)> = servers
        .iter()
        .map(|known| (*known, loads.get(&known.entry.name).run(now)))
        .collect();
    let runs: Vec<f64> = servers.iter().filter_map(|(_, run)| *run).collect();
    let mean = match runs.len() {
        0 => RUN,
        count => runs.iter().sum::<f64>() / count as f64,
    };
    let capacity = |(known, run): &(&Known, Option<f64>)| {
        let speed = (mean / run.unwrap_or(mean)).clamp(SPEEDS[0], SPEEDS[1]);
        let warm = known.warm_up(now).is_zero();
        let cold = if warm { 1.0 } else { COLD };
        let rate = f64::from(known.entry.slots.0) * speed * cold / mean;
        let limit = slow.filter(|_| !warm).map(|slow| slow.rate.0);
        Capacity {
            server: known.entry.name.clone(),
            rate: rate.min(limit.unwrap_or(f64::INFINITY)),
            accepts_keys: limit.is_none(),
        }
    };
    servers.iter().map(capacity).collect()
}
