//! Ages of tables.

use {
    super::{FreshnessTimes, Role},
    crate::time::Time,
    std::time::Duration,
};

/// How old a copy of a table is; `None` if it was never read.
pub type Age = Option<Duration>;

/// A span in which nobody that is heard of heard the store tell of a table, longer
/// than an outage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Gap {
    /// How long it was.
    pub span: Duration,
    /// When it ended.
    pub end: Time,
}

/// For each of `N` tables, the last moment as of which it is known.
///
/// The failure: an answer is lost while its connection stays open, and an instance
/// that waits for it takes the store's silence for a table in which nothing
/// changes; requests go to a server seconds after it said that it leaves. An age
/// that grows without an answer shows it, whatever became of the question. It is
/// also what an outage is told by: an instance that did not ask for a while, as
/// others did, has missed nothing.
///
/// ```
/// use {
///     citron_core::{freshness::{Freshness, FreshnessTimes, Role}, time::Time},
///     std::time::Duration,
/// };
/// let at = |millis: u64| Time::from_micros(millis * 1_000);
/// let mut tables = Freshness::<1>::new(FreshnessTimes::STANDARD);
/// tables.told(0, at(100));
/// assert_eq!(tables.age(0, at(350)), Some(Duration::from_millis(250)));
/// assert!(!tables.is_due(Role::Other, at(900)));
/// assert!(tables.is_due(Role::Planner, at(600)));
/// ```
#[derive(Debug)]
pub struct Freshness<const N: usize> {
    times: FreshnessTimes,
    known: [Option<Time>; N],
    /// Not before then, after a call that failed.
    again: Time,
    /// Calls that have failed since the last news.
    failures: u32,
}

impl<const N: usize> Freshness<N> {
    /// Nothing is known.
    pub fn new(times: FreshnessTimes) -> Self {
        Self {
            times,
            known: [None; N],
            again: Time::ZERO,
            failures: 0,
        }
    }

    /// A table is known as of a moment: the begin of a call that the store answered.
    /// The outage that this ends, if it does.
    pub fn told(&mut self, table: usize, as_of: Time) -> Option<Gap> {
        let known = &mut self.known[table];
        let before = known.filter(|before| *before < as_of);
        // Ages that go round among instances become a little younger each time.
        if known.is_none_or(|known| known + self.times.again < as_of) {
            self.failures = 0;
        }
        *known = (*known).max(Some(as_of));
        let span = as_of - before?;
        (span > self.times.outage).then_some(Gap { span, end: as_of })
    }

    /// Another instance knows a table just as this one does, and says how old that
    /// is. The outage that this ends, if it does.
    pub fn heard(&mut self, table: usize, age: Age, now: Time) -> Option<Gap> {
        let age = u64::try_from(age?.as_micros()).ok()?;
        let as_of = Time::from_micros(now.as_micros().checked_sub(age)?);
        self.told(table, as_of)
    }

    /// The moment as of which a table is known; `None` if it was never read.
    pub fn known(&self, table: usize) -> Option<Time> {
        self.known[table]
    }

    /// How old a table is.
    pub fn age(&self, table: usize, now: Time) -> Age {
        self.known[table].map(|known| now - known)
    }

    /// How old all of them are.
    pub fn ages(&self, now: Time) -> [Age; N] {
        std::array::from_fn(|table| self.age(table, now))
    }

    /// Whether the store should be asked: a table is too old for this role, and the
    /// last call did not just fail.
    pub fn is_due(&self, role: Role, now: Time) -> bool {
        self.left(role, now).is_zero()
    }

    /// How long until the store should be asked, if nothing is heard meanwhile.
    pub fn left(&self, role: Role, now: Time) -> Duration {
        self.left_without([false; N], role, now)
    }

    /// The same if nothing need be asked about some tables, as they are arriving.
    pub fn left_without(&self, arriving: [bool; N], role: Role, now: Time) -> Duration {
        if arriving == [true; N] {
            return self.times.of(role);
        }
        let asked = self.known.iter().zip(arriving);
        let asked = asked.filter(|(_, arriving)| !arriving);
        let oldest = asked.filter_map(|(known, _)| known.as_ref()).min();
        let due = oldest.map_or(now, |oldest| *oldest + self.times.of(role));
        due.max(self.again) - now
    }

    /// A call failed; `jitter` is a factor around 1, so that instances do not ask in
    /// step.
    pub fn failed(&mut self, role: Role, jitter: f64, now: Time) {
        let pause = self.times.retry(role, self.failures);
        self.failures = self.failures.saturating_add(1);
        self.again = now + pause.mul_f64(jitter);
    }
}
