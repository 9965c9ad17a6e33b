//! Ages of an instance's table copies, and when the store is due for a poll.

use {
    super::{FreshnessTimes, Role},
    crate::time::Time,
    std::time::Duration,
};

/// The age of a table copy; `None` if the table was never read.
pub type Age = Option<Duration>;

/// A period, longer than [`FreshnessTimes::outage_age`], in which no known instance
/// received a response for a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreOutage {
    /// Length of the period.
    pub duration: Duration,
    /// End of the period.
    pub end: Time,
}

/// Ages of `N` tables, each counted from the time at which the table was last known to be
/// current.
///
/// An age that keeps growing reveals a lost response, however the call ended. An instance
/// that has not polled for a while has missed nothing as long as its peers have polled.
///
/// ```
/// use {
///     citron_core::{freshness::{Freshness, FreshnessTimes, Role}, time::Time},
///     std::time::Duration,
/// };
/// let at = |millis: u64| Time::from_micros(millis * 1_000);
/// let mut tables = Freshness::<1>::new(FreshnessTimes::STANDARD);
/// tables.record_read(0, at(100));
/// assert_eq!(tables.age(0, at(350)), Some(Duration::from_millis(250)));
/// assert!(!tables.is_due(Role::Follower, at(900)));
/// assert!(tables.is_due(Role::Planner, at(600)));
/// ```
#[derive(Debug)]
pub struct Freshness<const N: usize> {
    times: FreshnessTimes,
    as_of: [Option<Time>; N],
    /// Earliest time of the next call after a failure.
    retry_at: Time,
    /// Consecutive failed calls since the table ages last improved.
    failures: u32,
}

impl<const N: usize> Freshness<N> {
    /// A record in which all ages are unknown.
    pub fn new(times: FreshnessTimes) -> Self {
        Self {
            times,
            as_of: [None; N],
            retry_at: Time::ZERO,
            failures: 0,
        }
    }

    /// Records the answer to a call that began at `as_of`. Returns the outage that the
    /// answer ends, if there was one.
    pub fn record_read(&mut self, table: usize, as_of: Time) -> Option<StoreOutage> {
        let known = &mut self.as_of[table];
        let before = known.filter(|before| *before < as_of);
        // An age that instances pass on to each other becomes slightly younger with each
        // hop, so a small gain does not show that the store has answered.
        if known.is_none_or(|known| known + self.times.retry_delay < as_of) {
            self.failures = 0;
        }
        *known = (*known).max(Some(as_of));
        let duration = as_of - before?;
        (duration > self.times.outage_age).then_some(StoreOutage {
            duration,
            end: as_of,
        })
    }

    /// Records the age that a peer advertises for the same version of a table. Returns
    /// the outage that the age ends, if there was one.
    pub fn record_peer_age(&mut self, table: usize, age: Age, now: Time) -> Option<StoreOutage> {
        let age = u64::try_from(age?.as_micros()).ok()?;
        let as_of = Time::from_micros(now.as_micros().checked_sub(age)?);
        self.record_read(table, as_of)
    }

    /// The time at which a table was last known to be current; `None` if it was never
    /// read.
    pub fn as_of(&self, table: usize) -> Option<Time> {
        self.as_of[table]
    }

    /// The age of a table.
    pub fn age(&self, table: usize, now: Time) -> Age {
        self.as_of[table].map(|known| now - known)
    }

    /// The ages of all tables.
    pub fn ages(&self, now: Time) -> [Age; N] {
        std::array::from_fn(|table| self.age(table, now))
    }

    /// Whether to poll the store: a table is too old for this role, and no retry delay is
    /// pending.
    pub fn is_due(&self, role: Role, now: Time) -> bool {
        self.time_until_due(role, now).is_zero()
    }

    /// Time until the next poll of the store, if no age improves before then.
    pub fn time_until_due(&self, role: Role, now: Time) -> Duration {
        self.time_until_due_except([false; N], role, now)
    }

    /// Time until the next poll of the store, not counting tables that a transfer is
    /// delivering already.
    pub fn time_until_due_except(&self, arriving: [bool; N], role: Role, now: Time) -> Duration {
        if arriving == [true; N] {
            return self.times.poll_interval(role);
        }
        let asked = self.as_of.iter().zip(arriving);
        let asked = asked.filter(|(_, arriving)| !arriving);
        let oldest = asked.filter_map(|(known, _)| known.as_ref()).min();
        let due = oldest.map_or(now, |oldest| *oldest + self.times.poll_interval(role));
        due.max(self.retry_at) - now
    }

    /// Records a failed call and schedules the retry. `jitter` is a factor around 1 that
    /// keeps instances from polling in lockstep.
    pub fn record_failure(&mut self, role: Role, jitter: f64, now: Time) {
        let pause = self.times.backoff(role, self.failures);
        self.failures = self.failures.saturating_add(1);
        self.retry_at = now + pause.mul_f64(jitter);
    }
}
