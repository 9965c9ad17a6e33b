//! Limit on concurrent grants.

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

/// Grants in flight, by time of sending.
#[derive(Debug, Default)]
pub struct SendWindow {
    in_flight: BTreeSet<(Time, KeyRange)>,
}

impl SendWindow {
    /// How many more grants may be sent now.
    pub fn available(&mut self, now: Time) -> usize {
        while let Some(first) = self.in_flight.first().copied() {
            if now - first.0 <= IN_FLIGHT_TIMEOUT {
                break;
            }
            self.in_flight.remove(&first);
        }
        MAX_IN_FLIGHT.saturating_sub(self.in_flight.len())
    }

    /// Adds a grant that is being sent.
    pub fn add(&mut self, sent: Time, range: KeyRange) {
        self.in_flight.insert((sent, range));
    }

    /// Removes a grant that has completed.
    pub fn remove(&mut self, sent: Time, range: KeyRange) {
        self.in_flight.remove(&(sent, range));
    }
}
