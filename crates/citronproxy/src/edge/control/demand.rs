//! Demand for keys, as reported to the planner.

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
    /// Counts a request for a key.
    pub fn add(&mut self, service: &ServiceName, key: RangeKey, now: Time) {
        if !self.services.contains_key(service) {
            self.services
                .insert(service.clone(), DemandWindows::default());
        }
        if let Some(windows) = self.services.get_mut(service) {
            windows.add(key, now);
        }
    }

    /// Checks whether the demand of a service has shifted abruptly to other keys, and
    /// remembers it for [`Self::take_sudden_change`].
    pub fn check_sudden_change(&mut self, service: &ServiceName, now: Time) -> bool {
        let windows = self.services.get_mut(service);
        let is_sudden = windows.is_some_and(|windows| windows.detect_change(now));
        self.has_sudden_change |= is_sudden;
        is_sudden
    }

    /// Whether any service has had a sudden change since the last call.
    pub fn take_sudden_change(&mut self) -> bool {
        std::mem::take(&mut self.has_sudden_change)
    }

    /// Whether a recent change has not been observed long enough for planning.
    pub fn is_settling(&self, now: Time) -> bool {
        let mut services = self.services.values();
        services.any(|windows| windows.is_settling(now))
    }

    /// Whether any key of a service has been requested.
    pub fn is_requested(&self, service: &ServiceName) -> bool {
        self.services.contains_key(service)
    }

    /// Demand of a service that plans are based on.
    pub fn current(&self, service: &ServiceName, now: Time) -> Demand {
        let windows = self.services.get(service);
        windows.map_or_else(Demand::default, |windows| windows.snapshot(now))
    }
}
