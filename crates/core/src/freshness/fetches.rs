//! Fetches of tables from other instances.

use {
    super::HearTimes,
    crate::time::Time,
    std::{array, time::Duration},
};

/// Bounds of a fetch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FetchTimes {
    /// After so long another instance is asked beside the first one, which may have
    /// ended or stand still.
    pub hedge: Duration,
    /// After so long a fetch is given up.
    pub limit: Duration,
}

impl FetchTimes {
    /// The defaults; see the fields.
    pub const STANDARD: Self = Self {
        hedge: HearTimes::STANDARD.call,
        limit: Duration::from_millis(800),
    };
}

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
/// assert_eq!(fetches.left(first, at(300)), Duration::from_millis(500));
/// assert!(fetches.begin(0, at(50)).is_none());
/// assert!(fetches.begin(1, at(50)).is_some());
/// assert!(fetches.begin(0, at(150)).is_some());
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

    /// Begins a fetch, unless there is no reason for another one.
    pub fn begin(&mut self, table: usize, now: Time) -> Option<Fetch> {
        let waits = |open: &Open| now - open.begun <= self.times.hedge;
        if self.open[table].last().is_some_and(waits) {
            return None;
        }
        self.begun += 1;
        let number = self.begun;
        self.open[table].push(Open { number, begun: now });
        Some(Fetch { table, number })
    }

    /// A part of the table has come.
    pub fn heard(&mut self, _fetch: Fetch, _now: Time) {}

    /// How long to wait for the next part until the fetch is given up.
    pub fn left(&self, fetch: Fetch, now: Time) -> Duration {
        let mut open = self.open[fetch.table].iter();
        let open = open.find(|open| open.number == fetch.number);
        open.map_or(Duration::ZERO, |open| open.begun + self.times.limit - now)
    }

    /// A fetch has ended, with the table or without.
    pub fn end(&mut self, fetch: Fetch) {
        self.open[fetch.table].retain(|open| open.number != fetch.number);
    }
}
