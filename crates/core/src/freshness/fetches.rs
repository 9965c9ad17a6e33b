//! Table transfers from other instances, with hedging and idle timeouts.

use {
    super::{FreshnessTimes, PropagationTimes},
    crate::time::Time,
    std::{array, time::Duration},
};

/// Delays and timeouts of a transfer. There is no limit on its total duration, which
/// depends on the link; aborting a transfer would waste the parts already received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FetchTimes {
    /// Time without a first part after which a second instance is asked as well, since
    /// the first one may have ended or stalled.
    pub hedge_delay: Duration,
    /// Time since the last part after which a second instance is asked as well.
    pub stall_delay: Duration,
    /// Duration of a transfer, even one that makes progress, after which a second
    /// instance is asked as well: the first one may be slower than the link.
    pub slow_delay: Duration,
    /// Time without a part after which a transfer is aborted.
    pub idle_timeout: Duration,
}

impl FetchTimes {
    /// The values in production.
    pub const STANDARD: Self = Self {
        hedge_delay: PropagationTimes::STANDARD.call_duration,
        stall_delay: Duration::from_millis(400),
        slow_delay: FreshnessTimes::STANDARD.outage_age,
        idle_timeout: Duration::from_millis(800),
    };
}

/// Maximum number of concurrent fetches of a table, since they share the link.
const MAX_CONCURRENT: usize = 2;

/// Handle of a fetch in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fetch {
    /// Index of the table that is fetched.
    pub table: usize,
    number: u64,
}

#[derive(Debug)]
struct OpenFetch {
    number: u64,
    begun: Time,
    /// Arrival time of the last part.
    last_part: Option<Time>,
}

/// Fetches in progress for each of `N` tables.
///
/// ```
/// use {
///     citron_core::{freshness::{FetchTimes, Fetches}, time::Time},
///     std::time::Duration,
/// };
/// let at = |millis: u64| Time::from_micros(millis * 1_000);
/// let mut fetches = Fetches::<2>::new(FetchTimes::STANDARD);
/// let first = fetches.begin(0, at(0)).unwrap();
/// assert!(fetches.begin(0, at(50)).is_none());
/// assert!(fetches.begin(1, at(50)).is_some());
/// fetches.record_progress(first, at(90));
/// assert!(fetches.begin(0, at(150)).is_none());
/// assert!(fetches.is_arriving(0, at(150)));
/// assert_eq!(fetches.time_until_idle(first, at(390)), Duration::from_millis(500));
/// ```
#[derive(Debug)]
pub struct Fetches<const N: usize> {
    times: FetchTimes,
    last_number: u64,
    open: [Vec<OpenFetch>; N],
}

impl<const N: usize> Fetches<N> {
    /// A record without fetches.
    pub fn new(times: FetchTimes) -> Self {
        Self {
            times,
            last_number: 0,
            open: array::from_fn(|_| Vec::new()),
        }
    }

    /// Begins a fetch, unless another fetch of the table is making progress or two are in
    /// flight.
    pub fn begin(&mut self, table: usize, now: Time) -> Option<Fetch> {
        let open = &self.open[table];
        let is_allowed = open.len() < MAX_CONCURRENT
            && !open.iter().any(|open| self.times.is_progressing(open, now));
        is_allowed.then(|| self.add(table, now))
    }

    /// Adds a transfer that this record did not begin.
    pub fn add(&mut self, table: usize, now: Time) -> Fetch {
        self.last_number += 1;
        let number = self.last_number;
        self.open[table].push(OpenFetch {
            number,
            begun: now,
            last_part: None,
        });
        Fetch { table, number }
    }

    /// Records the arrival of a part.
    pub fn record_progress(&mut self, fetch: Fetch, now: Time) {
        let mut open = self.open[fetch.table].iter_mut();
        if let Some(open) = open.find(|open| open.number == fetch.number) {
            open.last_part = Some(now);
        }
    }

    /// Whether a fetch of the table has received parts and is making progress.
    pub fn is_arriving(&self, table: usize, now: Time) -> bool {
        let is_arriving =
            |open: &OpenFetch| open.last_part.is_some() && self.times.is_progressing(open, now);
        self.open[table].iter().any(is_arriving)
    }

    /// Time until the fetch is aborted if no further part arrives.
    pub fn time_until_idle(&self, fetch: Fetch, now: Time) -> Duration {
        let mut open = self.open[fetch.table].iter();
        let open = open.find(|open| open.number == fetch.number);
        let last = open.map(|open| open.last_part.unwrap_or(open.begun));
        last.map_or(Duration::ZERO, |last| last + self.times.idle_timeout - now)
    }

    /// Removes a fetch that has ended, successfully or not.
    pub fn end(&mut self, fetch: Fetch) {
        self.open[fetch.table].retain(|open| open.number != fetch.number);
    }
}

impl FetchTimes {
    /// Whether a fetch makes enough progress that no second instance need be asked.
    fn is_progressing(&self, open: &OpenFetch, now: Time) -> bool {
        match open.last_part {
            Some(last_part) => {
                now - last_part <= self.stall_delay && now - open.begun <= self.slow_delay
            }
            None => now - open.begun <= self.hedge_delay,
        }
    }
}
