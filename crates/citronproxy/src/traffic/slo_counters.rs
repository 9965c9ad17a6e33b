//! Counters of one traffic thread for service-level objectives.

use {
    citron_core::{
        id::{ServerName, ServiceName},
        slo::Tally,
    },
    rustc_hash::FxHashMap,
    std::time::Duration,
};

/// Counters since they were last taken.
#[derive(Debug, Default)]
pub struct SloCounters {
    services: FxHashMap<ServiceName, Tally>,
}

impl SloCounters {
    /// Counts one response. A request whose client disconnected before the response is
    /// not counted, since its result is unknown.
    pub fn count_response(&mut self, service: &ServiceName, is_failed: bool, is_slow: bool) {
        let tally = self.tally(service);
        tally.requests += 1;
        tally.failed += u64::from(is_failed);
        tally.slow += u64::from(is_slow);
    }

    /// Adds the time for which a request occupied a server.
    pub fn add_busy_time(&mut self, service: &ServiceName, server: &ServerName, time: Duration) {
        let busy_times = &mut self.tally(service).busy_time;
        match busy_times.get_mut(server) {
            Some(sum) => *sum += time,
            None => drop(busy_times.insert(server.clone(), time)),
        }
    }

    /// Takes the counts and resets them.
    pub fn take(&mut self) -> Vec<(ServiceName, Tally)> {
        std::mem::take(&mut self.services).into_iter().collect()
    }

    /// Two lookups instead of `entry`, so that the name is cloned once per service, not
    /// per request.
    fn tally(&mut self, service: &ServiceName) -> &mut Tally {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), Tally::default());
        }
        self.services.get_mut(service).expect("inserted above")
    }
}
