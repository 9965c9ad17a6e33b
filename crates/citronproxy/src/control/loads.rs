//! Load of each shard, estimated from what this instance measures.

use {
    crate::traffic::LoadSample,
    citron_core::{id::ServiceName, ownership::Scope, placement::Load},
    std::{collections::BTreeMap, time::Duration},
};

/// Time constant of the exponential smoothing: most of a change in load shows after it.
const SMOOTHING_TIME: Duration = Duration::from_secs(10);
/// Total load of a service, in microseconds of slot time per second, below which the load
/// of each scope counts as 0. Otherwise a few requests would look like an imbalance.
const MIN_LOAD_MICROS_PER_SECOND: u64 = 200_000;

#[derive(Debug, Default)]
struct Rate {
    /// Microseconds of slot time per second.
    busy_micros: f64,
    /// Requests per second.
    requests: f64,
}

/// Smoothed load of all scopes.
///
/// The load balancer in front spreads clients over all instances, so each instance sees a
/// sample of the whole load. The sample is scaled up by the number of instances.
///
/// ```
/// use {citronproxy::control::Loads, std::time::Duration};
/// let mut loads = Loads::default();
/// loads.record(Vec::new(), Duration::from_secs(1));
/// let service = "balances".parse().unwrap();
/// let scope = citron_core::ownership::Scope::Shard("3".parse().unwrap());
/// assert_eq!(loads.scope_load(&service, scope, 10).1, 0);
/// ```
#[derive(Debug, Default)]
pub struct Loads {
    rates: BTreeMap<(ServiceName, Scope), Rate>,
    totals: BTreeMap<ServiceName, f64>,
}

impl Loads {
    /// Adds the samples that were measured over `span`.
    pub fn record(&mut self, samples: Vec<LoadSample>, span: Duration) {
        let seconds = span.as_secs_f64();
        if seconds <= 0.0 {
            return;
        }
        let weight = 1.0 - (-seconds / SMOOTHING_TIME.as_secs_f64()).exp();
        for rate in self.rates.values_mut() {
            rate.busy_micros *= 1.0 - weight;
            rate.requests *= 1.0 - weight;
        }
        for sample in samples {
            let key = (sample.service, sample.scope);
            let rate = self.rates.entry(key).or_default();
            rate.busy_micros += weight * sample.busy_time.as_micros() as f64 / seconds;
            rate.requests += weight * sample.count as f64 / seconds;
        }
        // Drops scopes that are idle or no longer exist.
        self.rates.retain(|_, rate| rate.busy_micros >= 1.0);
        self.totals.clear();
        for ((service, _), rate) in &self.rates {
            *self.totals.entry(service.clone()).or_default() += rate.busy_micros;
        }
    }

    /// Load and requests per second of a scope, scaled to `instances` instances that
    /// share the clients.
    pub fn scope_load(&self, service: &ServiceName, scope: Scope, instances: u32) -> (Load, u32) {
        let scale = f64::from(instances);
        let total = self.totals.get(service).copied().unwrap_or(0.0) * scale;
        let rate = self.rates.get(&(service.clone(), scope));
        match rate {
            Some(rate) if total >= MIN_LOAD_MICROS_PER_SECOND as f64 => {
                let load = Load((rate.busy_micros * scale) as u64);
                (load, (rate.requests * scale) as u32)
            }
            _ => (Load(0), 0),
        }
    }
}
