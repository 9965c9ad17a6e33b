//! How many orders are under way.

use {
    crate::{ranges::KeyRange, time::Time},
    std::{collections::BTreeSet, time::Duration},
};

/// Orders under way at a time. A planner that takes over has thousands due at once: sent
/// together they keep a small processor busy for seconds, its heartbeats stay out, and the
/// next planner takes over and does the same. As each answer makes room for the next order,
/// the rate follows the processor.
const MAX_IN_FLIGHT: usize = 40;
/// How long an order without an answer counts: servers that do not answer must not hold up
/// the orders to all others.
const IN_FLIGHT_TIMEOUT: Duration = Duration::from_millis(100);

/// Orders under way, as far as they count.
#[derive(Debug, Default)]
pub struct SendWindow {
    in_flight: BTreeSet<(Time, KeyRange)>,
}

impl SendWindow {
    /// How many more orders may be sent now.
    pub fn available(&mut self, now: Time) -> usize {
        while let Some(first) = self.in_flight.first().copied() {
            if now - first.0 <= IN_FLIGHT_TIMEOUT {
                break;
            }
            self.in_flight.remove(&first);
        }
        MAX_IN_FLIGHT.saturating_sub(self.in_flight.len())
    }

    /// An order is sent.
    pub fn add(&mut self, sent: Time, range: KeyRange) {
        self.in_flight.insert((sent, range));
    }

    /// An order has ended.
    pub fn remove(&mut self, sent: Time, range: KeyRange) {
        self.in_flight.remove(&(sent, range));
    }
}
