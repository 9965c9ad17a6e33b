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
        hedge_delay: PropagationTimes::STANDARD.call,
        stall_delay: Duration::from_millis(400),
        slow_delay: FreshnessTimes::STANDARD.outage,
        idle_timeout: Duration::from_millis(800),
    };
}

/// Concurrent fetches of a table at most: they share the link.
const CONCURRENT_MAX: usize = 2;

/// A fetch that was begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fetch {
    /// The table that is fetched.
    pub table: usize,
    number: u64,
}

#[derive(Debug)]
struct Open {
    number: u64,
    begun: Time,
    /// When its last part came.
    heard: Option<Time>,
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
/// fetches.progressed(first, at(90));
/// assert!(fetches.begin(0, at(150)).is_none());
/// assert!(fetches.is_arriving(0, at(150)));
/// assert_eq!(fetches.remaining(first, at(390)), Duration::from_millis(500));
/// ```
#[derive(Debug)]
pub struct Fetches<const N: usize> {
    times: FetchTimes,
    begun: u64,
    open: [Vec<Open>; N],
}

impl<const N: usize> Fetches<N> {
    /// None is under way.
    pub fn new(times: FetchTimes) -> Self {
        Self {
            times,
            begun: 0,
            open: array::from_fn(|_| Vec::new()),
        }
    }

    /// Begins a fetch, unless one goes on.
    pub fn begin(&mut self, table: usize, now: Time) -> Option<Fetch> {
        let open = &self.open[table];
        let may =
            open.len() < CONCURRENT_MAX && !open.iter().any(|open| self.times.is_going(open, now));
        may.then(|| self.add(table, now))
    }

    /// Adds a transfer that was begun elsewhere.
    pub fn add(&mut self, table: usize, now: Time) -> Fetch {
        self.begun += 1;
        let number = self.begun;
        self.open[table].push(Open {
            number,
            begun: now,
            heard: None,
        });
        Fetch { table, number }
    }

    /// A part of the table has come.
    pub fn progressed(&mut self, fetch: Fetch, now: Time) {
        let mut open = self.open[fetch.table].iter_mut();
        if let Some(open) = open.find(|open| open.number == fetch.number) {
            open.heard = Some(now);
        }
    }

    /// Whether parts of a table are coming, and not slowly.
    pub fn is_arriving(&self, table: usize, now: Time) -> bool {
        let arrives = |open: &Open| open.heard.is_some() && self.times.is_going(open, now);
        self.open[table].iter().any(arrives)
    }

    /// How long to wait for the next part until the fetch is given up.
    pub fn remaining(&self, fetch: Fetch, now: Time) -> Duration {
        let mut open = self.open[fetch.table].iter();
        let open = open.find(|open| open.number == fetch.number);
        let last = open.map(|open| open.heard.unwrap_or(open.begun));
        last.map_or(Duration::ZERO, |last| last + self.times.idle_timeout - now)
    }

    /// A fetch has ended, with the table or without.
    pub fn end(&mut self, fetch: Fetch) {
        self.open[fetch.table].retain(|open| open.number != fetch.number);
    }
}

impl FetchTimes {
    /// Whether a fetch makes another one needless.
    fn is_going(&self, open: &Open, now: Time) -> bool {
        match open.heard {
            Some(heard) => now - heard <= self.stall_delay && now - open.begun <= self.slow_delay,
            None => now - open.begun <= self.hedge_delay,
        }
    }
}
