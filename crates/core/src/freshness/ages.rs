//! Ages of tables.

use {
    super::{FreshnessTimes, Role},
    crate::time::Time,
    std::time::Duration,
};

/// How old a copy of a table is; `None` if it was never read.
pub type Age = Option<Duration>;

/// A period, longer than an outage, during which no known peer received a response for the
/// table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreOutage {
    /// How long it was.
    pub duration: Duration,
    /// When it ended.
    pub end: Time,
}

/// For each of `N` tables, the last moment as of which it is known.
///
/// An age that grows without a response reveals a lost one, whatever became of the call. An
/// instance that has not polled for a while has missed nothing if its peers have.
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
    /// Calls that have failed since the last news.
    failures: u32,
}

impl<const N: usize> Freshness<N> {
    /// Nothing is known.
    pub fn new(times: FreshnessTimes) -> Self {
        Self {
            times,
            as_of: [None; N],
            retry_at: Time::ZERO,
            failures: 0,
        }
    }

    /// A call that began at a moment was answered; returns the outage that this ends.
    pub fn record_read(&mut self, table: usize, as_of: Time) -> Option<StoreOutage> {
        let known = &mut self.as_of[table];
        let before = known.filter(|before| *before < as_of);
        // Ages passed around among instances get a little younger each time.
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

    /// A peer with the same table advertises its age; returns the outage that this ends.
    pub fn record_peer_age(&mut self, table: usize, age: Age, now: Time) -> Option<StoreOutage> {
        let age = u64::try_from(age?.as_micros()).ok()?;
        let as_of = Time::from_micros(now.as_micros().checked_sub(age)?);
        self.record_read(table, as_of)
    }

    /// The moment as of which a table is known; `None` if it was never read.
    pub fn as_of(&self, table: usize) -> Option<Time> {
        self.as_of[table]
    }

    /// How old a table is.
    pub fn age(&self, table: usize, now: Time) -> Age {
        self.as_of[table].map(|known| now - known)
    }

    /// How old all of them are.
    pub fn ages(&self, now: Time) -> [Age; N] {
        std::array::from_fn(|table| self.age(table, now))
    }

    /// Whether the store should be asked: a table is too old for this role, and the
    /// last call did not just fail.
    pub fn is_due(&self, role: Role, now: Time) -> bool {
        self.time_until_due(role, now).is_zero()
    }

    /// How long until the store should be asked, if nothing is heard meanwhile.
    pub fn time_until_due(&self, role: Role, now: Time) -> Duration {
        self.time_until_due_except([false; N], role, now)
    }

    /// The same if nothing need be asked about some tables, as they are arriving.
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

    /// A call failed; `jitter` is a factor around 1, so that instances do not ask in
    /// step.
    pub fn record_failure(&mut self, role: Role, jitter: f64, now: Time) {
        let pause = self.times.backoff(role, self.failures);
        self.failures = self.failures.saturating_add(1);
        self.retry_at = now + pause.mul_f64(jitter);
    }
}
