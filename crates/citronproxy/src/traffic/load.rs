//! Load by scope, as one traffic thread measures it.

use {
    citron_core::{id::ServiceName, ownership::Scope},
    rustc_hash::FxHashMap,
    std::{collections::BTreeMap, time::Duration},
};

/// Load of one scope since the last sample was taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadSample {
    /// The service.
    pub service: ServiceName,
    /// The shard, or the key that is owned alone.
    pub scope: Scope,
    /// Time that its requests held a slot of the owner, added up.
    pub busy_time: Duration,
    /// Exchanges that ended.
    pub count: u64,
}

#[derive(Debug, Default)]
struct ScopeLoad {
    busy_time: Duration,
    count: u64,
}

/// Sums of one thread.
#[derive(Debug, Default)]
pub struct ScopeLoads {
    services: FxHashMap<ServiceName, FxHashMap<Scope, ScopeLoad>>,
}

impl ScopeLoads {
    /// Counts one exchange.
    pub fn add(&mut self, service: &ServiceName, scope: Scope, time: Duration) {
        // Two look-ups instead of an entry: the name is cloned once, not per request.
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), FxHashMap::default());
        }
        if let Some(scopes) = self.services.get_mut(service) {
            let load = scopes.entry(scope).or_default();
            load.busy_time += time;
            load.count += 1;
        }
    }

    /// The sums so far; counting begins anew.
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

/// Adds up the samples of all threads, in the order of service and scope.
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
