//! What callers ask for, as the planner hears it.

use {
    citron_core::{
        id::ServiceName,
        ranges::{Demand, KeyDemand, RangeKey},
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

    /// The demand that plans go by.
    pub fn seen(&self, service: &ServiceName, now: Time) -> Demand {
        let Some(pair) = self.services.get(service) else {
            return Demand::default();
        };
        let slow = pair.slow.seen(now);
        let fast = pair.fast.seen(now);
        match slow.difference(&fast, PARTS) > CHANGED {
            true => fast,
            false => slow,
        }
    }
}
