//! Transfers of tables to an instance.

use {
    super::{FreshnessTimes, PropagationTimes},
    crate::time::Time,
    std::{array, time::Duration},
};

/// Bounds of a transfer. It is not given up for its length: how long the whole takes
/// depends on the link, and what had come would be thrown away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FetchTimes {
    /// After so long without any part another instance is asked beside the first one,
    /// which may have ended or stand still.
    pub hedge_delay: Duration,
    /// The same after a part has come.
    pub stall_delay: Duration,
    /// The same for one of which parts go on coming: its source may be slower than
    /// the link.
    pub slow_delay: Duration,
    /// After so long without a further part a fetch is given up.
    pub idle_timeout: Duration,
}

impl FetchTimes {
    /// The defaults; see the fields.
    pub const STANDARD: Self = Self {
        hedge_delay: PropagationTimes::STANDARD.call_duration,
        stall_delay: Duration::from_millis(400),
        slow_delay: FreshnessTimes::STANDARD.outage_age,
        idle_timeout: Duration::from_millis(800),
    };
}

/// Concurrent fetches of a table at most: they share the link.
const MAX_CONCURRENT: usize = 2;

/// A fetch that was begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fetch {
    /// The table that is fetched.
    pub table: usize,
    number: u64,
}

#[derive(Debug)]
struct OpenFetch {
    number: u64,
    begun: Time,
    /// When its last part came.
    last_part: Option<Time>,
}

/// The fetches of `N` tables that are under way.
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
    /// None is under way.
    pub fn new(times: FetchTimes) -> Self {
        Self {
            times,
            last_number: 0,
            open: array::from_fn(|_| Vec::new()),
        }
    }

    /// Begins a fetch, unless one goes on.
    pub fn begin(&mut self, table: usize, now: Time) -> Option<Fetch> {
        let open = &self.open[table];
        let is_allowed = open.len() < MAX_CONCURRENT
            && !open.iter().any(|open| self.times.is_progressing(open, now));
        is_allowed.then(|| self.add(table, now))
    }

    /// Adds a transfer that was begun elsewhere.
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

    /// A part of the table has come.
    pub fn record_progress(&mut self, fetch: Fetch, now: Time) {
        let mut open = self.open[fetch.table].iter_mut();
        if let Some(open) = open.find(|open| open.number == fetch.number) {
            open.last_part = Some(now);
        }
    }

    /// Whether parts of a table are coming, and not slowly.
    pub fn is_arriving(&self, table: usize, now: Time) -> bool {
        let is_arriving =
            |open: &OpenFetch| open.last_part.is_some() && self.times.is_progressing(open, now);
        self.open[table].iter().any(is_arriving)
    }

    /// How long to wait for the next part until the fetch is given up.
    pub fn time_until_idle(&self, fetch: Fetch, now: Time) -> Duration {
        let mut open = self.open[fetch.table].iter();
        let open = open.find(|open| open.number == fetch.number);
        let last = open.map(|open| open.last_part.unwrap_or(open.begun));
        last.map_or(Duration::ZERO, |last| last + self.times.idle_timeout - now)
    }

    /// A fetch has ended, with the table or without.
    pub fn end(&mut self, fetch: Fetch) {
        self.open[fetch.table].retain(|open| open.number != fetch.number);
    }
}

impl FetchTimes {
    /// Whether a fetch makes another one needless.
    fn is_progressing(&self, open: &OpenFetch, now: Time) -> bool {
        match open.last_part {
            Some(last_part) => {
                now - last_part <= self.stall_delay && now - open.begun <= self.slow_delay
            }
            None => now - open.begun <= self.hedge_delay,
        }
    }
}
