//! How many orders are under way.

use {
    crate::{ranges::KeyRange, time::Time},
    std::{collections::BTreeSet, time::Duration},
};

/// Orders under way at a time. A planner that takes over has thousands due at once: sent
/// together they keep a small processor busy for seconds, its heartbeats stay out, and the
/// next planner takes over and does the same. As each answer makes room for the next order,
/// the rate follows the processor.
const OPEN_MAX: usize = 40;
/// How long an order without an answer counts: servers that do not answer must not hold up
/// the orders to all others.
const COUNTED: Duration = Duration::from_millis(100);

/// Orders under way, as far as they count.
#[derive(Debug, Default)]
pub struct Window {
    open: BTreeSet<(Time, KeyRange)>,
}

impl Window {
    /// How many more orders may be sent now.
    pub fn room(&mut self, now: Time) -> usize {
        while let Some(first) = self.open.first().copied() {
            if now - first.0 <= COUNTED {
                break;
            }
            self.open.remove(&first);
        }
        OPEN_MAX.saturating_sub(self.open.len())
    }

    /// An order is sent.
    pub fn add(&mut self, sent: Time, range: KeyRange) {
        self.open.insert((sent, range));
    }

    /// An order has ended.
    pub fn end(&mut self, sent: Time, range: KeyRange) {
        self.open.remove(&(sent, range));
    }
}
