//! What callers ask for, as the planner hears it.

use {
    citron_core::{
        id::ServiceName,
        ranges::{KeyDemand, KeyRange, RangeKey},
        time::Time,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Half-life of the demand that plans go by: some hundred requests of a small
/// service, so that chance is a tenth of a server's load.
const SLOW: Duration = Duration::from_secs(3);
/// Half-life of the demand that shows a sudden change.
const FAST: Duration = Duration::from_millis(700);
/// Parts of the key space in which the two are compared.
const PARTS: u16 = 16;
/// Sum of the differences, of 2 at most, above which the slow demand is out of
/// date. A hundred requests differ from their mean by 0.3 by chance; a key that
/// draws a third of all requests moves 0.6.
const CHANGED: f64 = 0.55;

/// Demand of each service whose servers hold keys.
#[derive(Debug, Default)]
pub struct Demands {
    services: BTreeMap<ServiceName, Pair>,
}

#[derive(Debug)]
struct Pair {
    slow: KeyDemand,
    fast: KeyDemand,
}

impl Demands {
    /// Counts a request.
    pub fn add(&mut self, service: &ServiceName, key: RangeKey, now: Time) {
        if !self.services.contains_key(service) {
            let pair = Pair {
                slow: KeyDemand::new(SLOW),
                fast: KeyDemand::new(FAST),
            };
            self.services.insert(service.clone(), pair);
        }
        if let Some(pair) = self.services.get_mut(service) {
            pair.slow.add(key, now);
            pair.fast.add(key, now);
        }
    }

    /// Requests a second up to each key, all zero for a service never asked for;
    /// and the seconds of requests that this stands for.
    pub fn sums(&self, service: &ServiceName, now: Time) -> (Vec<f32>, f64) {
        let Some(pair) = self.services.get(service) else {
            return (vec![0.0; usize::from(u16::MAX) + 2], 0.0);
        };
        let slow = pair.slow.sums(now);
        let fast = pair.fast.sums(now);
        match difference(&slow, &fast) > CHANGED {
            true => (fast, pair.fast.span()),
            false => (slow, pair.slow.span()),
        }
    }
}

fn difference(one: &[f32], other: &[f32]) -> f64 {
    let parts = (0..PARTS).map(|at| share(one, at) - share(other, at));
    parts.map(f64::abs).sum()
}

/// Part of all requests that fall into one part of the key space.
fn share(sums: &[f32], at: u16) -> f64 {
    let size = u16::MAX / PARTS + 1;
    let part = KeyRange {
        first: RangeKey(at * size),
        last: RangeKey(at * size + (size - 1)),
    };
    let whole = KeyDemand::of(sums, KeyRange::ALL).max(f64::MIN_POSITIVE);
    KeyDemand::of(sums, part) / whole
}
