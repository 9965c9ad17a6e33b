//! How much work each shard makes, as far as this instance sees.

use {
    crate::traffic::LoadSample,
    citron_core::{id::ServiceName, ownership::Scope, placement::Load},
    std::{collections::BTreeMap, time::Duration},
};

/// How long a change of load takes to show for the most part.
const SMOOTHING: Duration = Duration::from_secs(10);
/// Below this much work of a service, in microseconds of slot time a second,
/// all shards count as equal: a few requests would look like an imbalance.
const LEAST: u64 = 200_000;

#[derive(Debug, Default)]
struct Rate {
    /// Microseconds of slot time a second.
    busy: f64,
    /// Requests a second.
    count: f64,
}

/// Smoothed rates of all scopes.
///
/// The balancer spreads callers over all instances, so that what one of them
/// sees is a sample of the whole; it is scaled up by their number.
///
/// ```
/// use {citronproxy::control::Loads, std::time::Duration};
/// let mut loads = Loads::default();
/// loads.add(Vec::new(), Duration::from_secs(1));
/// let service = "balances".parse().unwrap();
/// let scope = citron_core::ownership::Scope::Shard("3".parse().unwrap());
/// assert_eq!(loads.of(&service, scope, 10).1, 0);
/// ```
#[derive(Debug, Default)]
pub struct Loads {
    rates: BTreeMap<(ServiceName, Scope), Rate>,
    totals: BTreeMap<ServiceName, f64>,
}

impl Loads {
    /// Takes what was measured over a span.
    pub fn add(&mut self, samples: Vec<LoadSample>, span: Duration) {
        let seconds = span.as_secs_f64();
        if seconds <= 0.0 {
            return;
        }
        let part = 1.0 - (-seconds / SMOOTHING.as_secs_f64()).exp();
        for rate in self.rates.values_mut() {
            rate.busy *= 1.0 - part;
            rate.count *= 1.0 - part;
        }
        for sample in samples {
            let key = (sample.service, sample.scope);
            let rate = self.rates.entry(key).or_default();
            rate.busy += part * sample.busy_time.as_micros() as f64 / seconds;
            rate.count += part * sample.count as f64 / seconds;
        }
        // What is left of a scope that is idle or gone counts for nothing.
        self.rates.retain(|_, rate| rate.busy >= 1.0);
        self.totals.clear();
        for ((service, _), rate) in &self.rates {
            *self.totals.entry(service.clone()).or_default() += rate.busy;
        }
    }

    /// Load and requests a second of a scope, if `instances` share the callers.
    pub fn of(&self, service: &ServiceName, scope: Scope, instances: u32) -> (Load, u32) {
        let scale = f64::from(instances);
        let total = self.totals.get(service).copied().unwrap_or(0.0) * scale;
        let rate = self.rates.get(&(service.clone(), scope));
        match rate {
            Some(rate) if total >= LEAST as f64 => {
                let load = Load((rate.busy * scale) as u64);
                (load, (rate.count * scale) as u32)
            }
            _ => (Load(0), 0),
        }
    }
}
