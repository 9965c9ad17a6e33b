//! Whether what is known of a table is good enough for a final negative answer.

use {
    super::{Age, FreshnessTimes},
    crate::time::Time,
    std::time::Duration,
    thiserror::Error,
};

/// What is known of versions of a table that are newer than the one in force.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Newer {
    /// Nothing.
    #[default]
    None,
    /// Another instance has one.
    Told,
    /// One was seen that could not be read.
    Unreadable,
}

/// Why a table that requests are decided by may be out of date.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Doubt {
    /// Nobody told how old it is.
    #[error("its age is unknown")]
    Unread,
    /// It is so old that the store was not heard of meanwhile.
    #[error("it is {}ms old", .0.as_millis())]
    Old(Duration),
    /// There is a newer one.
    #[error("a newer one is known of")]
    Behind,
    /// There is a newer one that could not be read.
    #[error("a newer one cannot be read")]
    Unreadable,
}

/// What is known of a table's currency.
///
/// The failure: an instance that has missed a change answers a request to a new route
/// that there is none, and its caller does not try again, though any other instance
/// would have served it. What may be wrong only here must not be final.
///
/// ```
/// use {
///     citron_core::freshness::{Doubt, FreshnessTimes, Newer, Standing},
///     std::time::Duration,
/// };
/// let times = FreshnessTimes::STANDARD;
/// let age = Some(Duration::from_millis(80));
/// let newer = Newer::None;
/// assert_eq!(Standing { age, newer }.doubt(&times), None);
/// let newer = Newer::Told;
/// assert_eq!(Standing { age, newer }.doubt(&times), Some(Doubt::Behind));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Standing {
    /// How old what is known is.
    pub age: Age,
    /// What is known of newer versions.
    pub newer: Newer,
}

impl Standing {
    /// Why the table is not good enough; `None` if it is.
    pub fn doubt(&self, times: &FreshnessTimes) -> Option<Doubt> {
        match (self.newer, self.age) {
            (Newer::Unreadable, _) => Some(Doubt::Unreadable),
            (Newer::Told, _) => Some(Doubt::Behind),
            (Newer::None, None) => Some(Doubt::Unread),
            (Newer::None, Some(age)) => (age > times.outage).then_some(Doubt::Old(age)),
        }
    }
}

/// The newest version of a table that was heard of.
///
/// One that is told of counts until it is taken in, or the table is known as of an
/// outage after it was last told of: who told may have read all rows, and name the
/// version of that reading for the newest change, and end before it can be asked.
///
/// ```
/// use citron_core::{freshness::{FreshnessTimes, Newer, Newest}, time::Time};
/// let mut newest = Newest::new(FreshnessTimes::STANDARD);
/// let now = Time::from_micros(5_000);
/// newest.known(7);
/// newest.told(9, now);
/// assert_eq!(newest.newer(Some(now)), Newer::Told);
/// newest.known(9);
/// assert_eq!(newest.newer(Some(now)), Newer::None);
/// ```
#[derive(Debug, Clone, Copy)]
pub struct Newest {
    times: FreshnessTimes,
    known: u64,
    told: u64,
    /// When a newer one was last told of.
    heard: Time,
    unreadable: Option<u64>,
}

impl Newest {
    /// Nothing was heard of.
    pub fn new(times: FreshnessTimes) -> Self {
        Self {
            times,
            known: 0,
            told: 0,
            heard: Time::ZERO,
            unreadable: None,
        }
    }

    /// All changes up to a version are taken in.
    pub fn known(&mut self, version: u64) {
        self.known = self.known.max(version);
    }

    /// Another instance has a version.
    pub fn told(&mut self, version: u64, now: Time) {
        if version > self.known {
            self.told = self.told.max(version);
            self.heard = now;
        }
    }

    /// A row of this version was read.
    pub fn read(&mut self, version: u64) {
        self.unreadable = self.unreadable.filter(|refused| *refused >= version);
    }

    /// A row of this version could not be read.
    pub fn unreadable(&mut self, version: u64) {
        self.unreadable = self.unreadable.max(Some(version));
    }

    /// What is known of versions newer than the one in force, which is known as of a
    /// moment.
    pub fn newer(&self, as_of: Option<Time>) -> Newer {
        if self.unreadable.is_some() {
            return Newer::Unreadable;
        }
        let over = as_of.is_some_and(|as_of| as_of > self.heard + self.times.outage);
        match self.told > self.known && !over {
            true => Newer::Told,
            false => Newer::None,
        }
    }
}
