//! Until when an instance may route under the revision it knows.

use {
    crate::{
        ownership::{Rules, Spans, Strict},
        time::Time,
    },
    std::time::Duration,
};

/// A domain's end that never comes: grace alone limits the domain's routing.
const NEVER: Time = Time::from_micros(u64::MAX);

/// Ends of an instance's leave to route, on its own monotonic clock.
///
/// It always travels together with the map it confirms: a newer confirmation
/// with an older map would let a request follow an owner that has been replaced.
///
/// ```
/// use {citron_core::{membership::Confirmation, time::Time}, std::time::Duration};
/// let read = Time::from_micros(1_000_000);
/// let second = Duration::from_secs(1);
/// let confirmation = Confirmation { anywhere: read + second, platform: read, domain: read + 9 * second };
/// let grace = 5 * second;
/// assert!(confirmation.allows(read, false, grace));
/// assert!(!confirmation.allows(read + 2 * second, false, grace));
/// assert!(confirmation.allows(read + 2 * second, true, grace));
/// assert!(!confirmation.allows(read + 6 * second, true, grace));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Confirmation {
    /// Until then it may route to servers in any failure domain.
    pub anywhere: Time,
    /// When the last read of the platform that it rests on was begun.
    pub platform: Time,
    /// Until then its own domain's confirmers stand by the revision.
    pub domain: Time,
}

/// What one instance passes on of its confirmation to another: spans only, as
/// two clocks are never compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Remaining {
    /// What is left of the leave to route anywhere.
    pub anywhere: Duration,
    /// How long ago the read of the platform was begun.
    pub age: Duration,
}

impl Confirmation {
    /// From a read of the platform that was begun and answered at these times.
    ///
    /// ```
    /// use citron_core::{membership::Confirmation, ownership::Spans, time::Time};
    /// let (begun, answered) = (Time::from_micros(10), Time::from_micros(90));
    /// let confirmation = Confirmation::of_read(begun, answered, Spans::default());
    /// assert_eq!(confirmation.platform, begun);
    /// ```
    pub fn of_read(begun: Time, answered: Time, spans: Spans) -> Self {
        Self::of_read_by::<Strict>(begun, answered, spans)
    }

    /// [`Self::of_read`] under other rules.
    pub fn of_read_by<R: Rules>(begun: Time, answered: Time, spans: Spans) -> Self {
        let platform = R::anchor(begun, answered);
        Self {
            anywhere: platform + spans.confirm,
            platform,
            domain: NEVER,
        }
    }

    /// What may be passed on at `now`; `None` if it rests on no read.
    pub fn remaining(&self, now: Time, spans: Spans) -> Option<Remaining> {
        self.remaining_by::<Strict>(now, spans)
    }

    /// [`Self::remaining`] under other rules.
    pub fn remaining_by<R: Rules>(&self, now: Time, spans: Spans) -> Option<Remaining> {
        let rests = self.platform > Time::ZERO;
        rests.then(|| Remaining {
            anywhere: R::relayed(self.anywhere - now, spans.confirm),
            age: R::relayed_age(now - self.platform),
        })
    }

    /// From another instance's answer to a question that was sent at `sent`.
    /// The other measured its spans later than that, so that counting them from
    /// `sent` ends no later than the other's own.
    ///
    /// ```
    /// use {citron_core::{membership::{Confirmation, Remaining}, time::Time}, std::time::Duration};
    /// let left = Remaining { anywhere: Duration::from_micros(30), age: Duration::from_micros(5) };
    /// let confirmation = Confirmation::of_relay(Time::from_micros(100), left);
    /// assert_eq!(confirmation.anywhere, Time::from_micros(130));
    /// assert_eq!(confirmation.platform, Time::from_micros(95));
    /// ```
    pub fn of_relay(sent: Time, left: Remaining) -> Self {
        let age = u64::try_from(left.age.as_micros()).unwrap_or(u64::MAX);
        Self {
            anywhere: sent + left.anywhere,
            platform: Time::from_micros(sent.as_micros().saturating_sub(age)),
            domain: NEVER,
        }
    }

    /// The later of two, each end by itself. Both must be of the map in force
    /// or of an older one: whatever an older revision's confirmation rules out
    /// until its end, a newer revision's does too.
    pub fn later(self, other: Self) -> Self {
        Self {
            anywhere: self.anywhere.max(other.anywhere),
            platform: self.platform.max(other.platform),
            domain: self.domain.max(other.domain),
        }
    }

    /// When the leave ends; `own` says that the server is in the instance's own
    /// failure domain, `grace` is the service's.
    pub fn end(&self, own: bool, grace: Duration) -> Time {
        let domain = self.domain.min(self.platform + grace);
        match own {
            true => self.anywhere.max(domain),
            false => self.anywhere,
        }
    }

    /// Whether a request may be written now.
    pub fn allows(&self, now: Time, own: bool, grace: Duration) -> bool {
        now < self.end(own, grace)
    }
}
