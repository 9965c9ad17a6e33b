//! Time series of tallies by minute and service.

use {
    super::{Minute, Tally},
    crate::id::ServiceName,
    std::collections::{BTreeMap, BTreeSet},
};

/// Time series of tallies, with one bucket for each minute and service.
///
/// ```
/// use citron_core::slo::{Minute, TallySeries, Tally};
/// let service = "kegs".parse().unwrap();
/// let mut series = TallySeries::default();
/// series.add(Minute(7), &service, &Tally { requests: 3, ..Tally::default() });
/// assert_eq!(series.sum(&service, Minute(9), 5).requests, 3);
/// assert_eq!(series.sum(&service, Minute(12), 5).requests, 0);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct TallySeries {
    minutes: BTreeMap<Minute, BTreeMap<ServiceName, Tally>>,
}

impl TallySeries {
    /// Adds a tally of this instance to the bucket of a minute.
    pub fn add(&mut self, minute: Minute, service: &ServiceName, tally: &Tally) {
        *self.bucket(minute, service) += tally;
    }

    /// Merges the series of another instance.
    pub fn merge(&mut self, other: &TallySeries) {
        for (minute, service, tally) in other.entries() {
            self.bucket(minute, service).merge(tally);
        }
    }

    fn bucket(&mut self, minute: Minute, service: &ServiceName) -> &mut Tally {
        let services = self.minutes.entry(minute).or_default();
        services.entry(service.clone()).or_default()
    }

    /// Drops the buckets before a minute.
    pub fn drop_before(&mut self, before: Minute) {
        self.minutes = self.minutes.split_off(&before);
    }

    /// All buckets, ordered by minute and service.
    pub fn entries(&self) -> impl Iterator<Item = (Minute, &ServiceName, &Tally)> {
        let minutes = self.minutes.iter();
        minutes.flat_map(|(minute, services)| {
            services.iter().map(|(name, tally)| (*minute, name, tally))
        })
    }

    /// All services that have a bucket.
    pub fn services(&self) -> BTreeSet<&ServiceName> {
        self.minutes.values().flat_map(BTreeMap::keys).collect()
    }

    /// The sum of a service's tallies over the last `window` minutes, including `now`.
    pub fn sum(&self, service: &ServiceName, now: Minute, window: u64) -> Tally {
        let first = Minute((now.0 + 1).saturating_sub(window));
        let mut sum = Tally::default();
        for (_, services) in self.minutes.range(first..=now) {
            if let Some(tally) = services.get(service) {
                sum += tally;
            }
        }
        sum
    }
}
