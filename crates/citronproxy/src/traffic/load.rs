//! Load by scope as measured by one traffic thread.

use {
    citron_core::{id::ServiceName, ownership::Scope},
    rustc_hash::FxHashMap,
    std::{collections::BTreeMap, time::Duration},
};

/// Load of one scope since the last sample.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadSample {
    /// Service.
    pub service: ServiceName,
    /// Shard, or single key with an owner of its own.
    pub scope: Scope,
    /// Total time for which requests of the scope occupied the owner.
    pub busy_time: Duration,
    /// Number of finished exchanges.
    pub count: u64,
}

#[derive(Debug, Default)]
struct ScopeLoad {
    busy_time: Duration,
    count: u64,
}

/// Sums of one thread by service and scope.
#[derive(Debug, Default)]
pub struct ScopeLoads {
    services: FxHashMap<ServiceName, FxHashMap<Scope, ScopeLoad>>,
}

impl ScopeLoads {
    /// Adds one exchange of the given duration.
    pub fn add(&mut self, service: &ServiceName, scope: Scope, time: Duration) {
        // Two lookups instead of `entry`, so that the name is cloned once per service,
        // not per request.
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), FxHashMap::default());
        }
        if let Some(scopes) = self.services.get_mut(service) {
            let load = scopes.entry(scope).or_default();
            load.busy_time += time;
            load.count += 1;
        }
    }

    /// Takes the sums and resets them.
    pub fn take(&mut self) -> Vec<LoadSample> {
        let services = std::mem::take(&mut self.services);
        let samples = services.into_iter().flat_map(|(service, scopes)| {
            scopes.into_iter().map(move |(scope, load)| LoadSample {
                service: service.clone(),
                scope,
                busy_time: load.busy_time,
                count: load.count,
            })
        });
        samples.collect()
    }
}

/// Sums the samples of all threads, ordered by service and scope.
pub fn merge(samples: impl IntoIterator<Item = LoadSample>) -> Vec<LoadSample> {
    let mut merged: BTreeMap<(ServiceName, Scope), LoadSample> = BTreeMap::new();
    for sample in samples {
        let key = (sample.service.clone(), sample.scope);
        match merged.get_mut(&key) {
            Some(sum) => {
                sum.busy_time += sample.busy_time;
                sum.count += sample.count;
            }
            None => drop(merged.insert(key, sample)),
        }
    }
    merged.into_values().collect()
}
