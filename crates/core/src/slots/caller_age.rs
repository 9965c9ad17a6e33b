//! Time that callers have waited before a request.

use {
    crate::time::Time,
    std::{collections::BTreeMap, time::Duration},
};

/// Time for which a timeout counts.
const WINDOW: Duration = Duration::from_secs(30);
/// Parts of the window; a timeout counts for at least all but one of them.
const PARTS: usize = 6;
/// Most routes that are recorded.
const ROUTES_MAX: usize = 1_024;

/// Largest timeouts that callers have lately sent, by route.
///
/// A caller that retries sends what is left of its timeout, so the difference from the
/// largest one is the time that it has waited.
///
/// ```
/// use {citron_core::{slots::CallerAges, time::Time}, std::time::Duration};
/// let mut ages = CallerAges::default();
/// assert_eq!(ages.observe("views", Duration::from_secs(3), Time::ZERO), Duration::ZERO);
/// let waited = ages.observe("views", Duration::from_millis(2_600), Time::ZERO);
/// assert_eq!(waited, Duration::from_millis(400));
/// ```
#[derive(Debug, Default)]
pub struct CallerAges {
    routes: BTreeMap<String, Timeouts>,
}

/// Largest timeout of each part of the window, with the part's number since the origin.
#[derive(Debug, Default)]
struct Timeouts {
    parts: [(u64, Duration); PARTS],
}

impl CallerAges {
    /// Records the timeout that a caller sent. Returns the time that the caller has
    /// already waited; zero if there are too many routes to tell.
    pub fn observe(&mut self, route: &str, timeout: Duration, now: Time) -> Duration {
        let part = part_of(now);
        if !self.routes.contains_key(route) {
            if self.routes.len() >= ROUTES_MAX {
                self.routes.retain(|_, timeouts| timeouts.is_recent(part));
            }
            if self.routes.len() >= ROUTES_MAX {
                return Duration::ZERO;
            }
            self.routes.insert(route.to_string(), Timeouts::default());
        }
        let timeouts = self.routes.get_mut(route);
        timeouts.map_or(Duration::ZERO, |timeouts| {
            timeouts.record(timeout, part).saturating_sub(timeout)
        })
    }
}

impl Timeouts {
    /// Records a timeout. Returns the largest one of the window.
    fn record(&mut self, timeout: Duration, part: u64) -> Duration {
        let current = &mut self.parts[(part % PARTS as u64) as usize];
        if current.0 != part {
            *current = (part, Duration::ZERO);
        }
        current.1 = current.1.max(timeout);
        let recent = self.parts.iter().filter(|(of, _)| counts(*of, part));
        recent.map(|(_, max)| *max).max().unwrap_or(timeout)
    }

    fn is_recent(&self, part: u64) -> bool {
        self.parts.iter().any(|(of, _)| counts(*of, part))
    }
}

fn counts(of: u64, part: u64) -> bool {
    of + PARTS as u64 > part
}

fn part_of(now: Time) -> u64 {
    now.as_micros() / (WINDOW.as_micros() as u64 / PARTS as u64)
}
