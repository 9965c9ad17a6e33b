//! Time that callers have waited before a request.

use {
    crate::time::Time,
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// Time for which a timeout counts.
const WINDOW: Duration = Duration::from_secs(30);
/// Most timeouts that count for a route.
const TIMEOUTS_MAX: usize = 64;
/// Share of the timeouts that must reach the one of a first try, as a divisor. A few callers
/// with longer timeouts than others do not make these appear late.
const FIRST_TRY_DIVISOR: usize = 10;
/// Most routes that are recorded.
const ROUTES_MAX: usize = 1_024;

/// Timeouts that callers have lately sent, by route.
///
/// A caller that retries sends what is left of its timeout, so the difference from the
/// timeout of first tries is the time that it has waited. Callers retry a few times, so that
/// at least a tenth of the requests are first tries.
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

/// Latest timeouts of a route, with the times at which they were received.
#[derive(Debug, Default)]
struct Timeouts(VecDeque<(Time, Duration)>);

impl CallerAges {
    /// Records the timeout that a caller sent. Returns the time that the caller has
    /// already waited; zero if there are too many routes to tell.
    pub fn observe(&mut self, route: &str, timeout: Duration, now: Time) -> Duration {
        if !self.routes.contains_key(route) {
            if self.routes.len() >= ROUTES_MAX {
                self.routes.retain(|_, timeouts| timeouts.is_recent(now));
            }
            if self.routes.len() >= ROUTES_MAX {
                return Duration::ZERO;
            }
            self.routes.insert(route.to_string(), Timeouts::default());
        }
        let timeouts = self.routes.get_mut(route);
        timeouts.map_or(Duration::ZERO, |timeouts| {
            timeouts.record(timeout, now).saturating_sub(timeout)
        })
    }
}

impl Timeouts {
    /// Records a timeout. Returns that of first tries.
    fn record(&mut self, timeout: Duration, now: Time) -> Duration {
        self.0.push_back((now, timeout));
        let is_old = |(at, _): &(Time, Duration)| now - *at >= WINDOW;
        while self.0.len() > TIMEOUTS_MAX || self.0.front().is_some_and(is_old) {
            self.0.pop_front();
        }
        let mut recent: Vec<Duration> = self.0.iter().map(|(_, timeout)| *timeout).collect();
        recent.sort_unstable_by(|a, b| b.cmp(a));
        let index = recent.len().div_ceil(FIRST_TRY_DIVISOR).saturating_sub(1);
        recent.get(index).copied().unwrap_or(timeout)
    }

    fn is_recent(&self, now: Time) -> bool {
        self.0.back().is_some_and(|(at, _)| now - *at < WINDOW)
    }
}
