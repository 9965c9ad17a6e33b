//! What callers ask for, as the planner hears it.

use {
    citron_core::{
        id::ServiceName,
        ranges::{Demand, DemandWindows, RangeKey},
        time::Time,
    },
    std::collections::BTreeMap,
};

/// Demand of each service whose servers hold keys.
#[derive(Debug, Default)]
pub struct DemandTracker {
    services: BTreeMap<ServiceName, DemandWindows>,
    has_sudden_change: bool,
}

impl DemandTracker {
    /// Counts a request.
    pub fn add(&mut self, service: &ServiceName, key: RangeKey, now: Time) {
        if !self.services.contains_key(service) {
            self.services
                .insert(service.clone(), DemandWindows::default());
        }
        if let Some(windows) = self.services.get_mut(service) {
            windows.add(key, now);
        }
    }

    /// Looks whether other keys of a service are asked for all of a sudden.
    pub fn check_sudden_change(&mut self, service: &ServiceName, now: Time) -> bool {
        let windows = self.services.get_mut(service);
        let is_sudden = windows.is_some_and(|windows| windows.detect_change(now));
        self.has_sudden_change |= is_sudden;
        is_sudden
    }

    /// Whether that was so since the last call.
    pub fn take_sudden_change(&mut self) -> bool {
        std::mem::take(&mut self.has_sudden_change)
    }

    /// Whether too little is known yet of a change.
    pub fn is_settling(&self, now: Time) -> bool {
        let mut services = self.services.values();
        services.any(|windows| windows.is_settling(now))
    }

    /// Whether callers have asked for keys of a service.
    pub fn is_requested(&self, service: &ServiceName) -> bool {
        self.services.contains_key(service)
    }

    /// The demand that plans go by.
    pub fn current(&self, service: &ServiceName, now: Time) -> Demand {
        let windows = self.services.get(service);
        windows.map_or_else(Demand::default, |windows| windows.snapshot(now))
    }
}
