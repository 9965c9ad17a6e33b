//! Grants in progress, and the limit on their number.

use {
    crate::{ranges::KeyRange, time::Time},
    std::{collections::BTreeSet, time::Duration},
};

/// Maximum number of grants in flight. After a takeover thousands are due at once. Sent
/// together, they occupy a small processor for seconds and delay its heartbeats, so that
/// another planner takes over and does the same. With the limit, each answer admits the
/// next grant, and the rate adapts to the processor.
const MAX_IN_FLIGHT: usize = 40;
/// How long a grant without an answer counts as in flight, so that servers that do not
/// answer do not hold up the grants to others.
const IN_FLIGHT_TIMEOUT: Duration = Duration::from_millis(100);

/// Grants without an outcome, by time of sending.
#[derive(Debug, Default)]
pub struct SendWindow {
    in_progress: BTreeSet<(Time, KeyRange)>,
}

impl SendWindow {
    /// How many more grants may be sent now.
    pub fn available(&self, now: Time) -> usize {
        let is_in_flight = |(sent, _): &&(Time, KeyRange)| now - *sent <= IN_FLIGHT_TIMEOUT;
        let newest_first = self.in_progress.iter().rev();
        MAX_IN_FLIGHT.saturating_sub(newest_first.take_while(is_in_flight).count())
    }

    /// Whether a grant of some keys of `range` has no outcome.
    pub fn overlaps(&self, range: KeyRange) -> bool {
        let mut ranges = self.in_progress.iter().map(|(_, granted)| granted);
        ranges.any(|granted| granted.intersection(range).is_some())
    }

    /// Adds a grant that is being sent.
    pub fn add(&mut self, sent: Time, range: KeyRange) {
        self.in_progress.insert((sent, range));
    }

    /// Removes a grant that has completed.
    pub fn remove(&mut self, sent: Time, range: KeyRange) {
        self.in_progress.remove(&(sent, range));
    }

    /// Removes grants that were sent more than `max_transit` ago. They arrive no more.
    pub fn remove_older(&mut self, max_transit: Duration, now: Time) {
        let is_old = |(sent, _): &(Time, KeyRange)| now - *sent > max_transit;
        while self.in_progress.first().is_some_and(is_old) {
            self.in_progress.pop_first();
        }
    }
}
