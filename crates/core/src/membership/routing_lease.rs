//! Until when an instance may route under the revision it knows.

use {
    crate::{
        ownership::{LeaseDurations, ProductionRules, ProtocolRules},
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
/// use {citron_core::{membership::RoutingLease, time::Time}, std::time::Duration};
/// let read = Time::from_micros(1_000_000);
/// let second = Duration::from_secs(1);
/// let lease = RoutingLease { any_domain_until: read + second, read_started: read, own_domain_until: read + 9 * second };
/// let grace = 5 * second;
/// assert!(lease.allows(read, false, grace));
/// assert!(!lease.allows(read + 2 * second, false, grace));
/// assert!(lease.allows(read + 2 * second, true, grace));
/// assert!(!lease.allows(read + 6 * second, true, grace));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct RoutingLease {
    /// Until then it may route to servers in any failure domain.
    pub any_domain_until: Time,
    /// When the last read of the platform that it rests on was begun.
    pub read_started: Time,
    /// Until then its own domain's confirmers stand by the revision.
    pub own_domain_until: Time,
}

/// What one instance passes on of its confirmation to another: spans only, as
/// two clocks are never compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RemainingLease {
    /// What is left of the leave to route anywhere.
    pub any_domain: Duration,
    /// How long ago the read of the platform was begun.
    pub age: Duration,
}

impl RoutingLease {
    /// From a read of the platform that was begun and answered at these times.
    ///
    /// ```
    /// use citron_core::{membership::RoutingLease, ownership::LeaseDurations, time::Time};
    /// let (started, answered) = (Time::from_micros(10), Time::from_micros(90));
    /// let lease = RoutingLease::from_read(started, answered, LeaseDurations::default());
    /// assert_eq!(lease.read_started, started);
    /// ```
    pub fn from_read(started: Time, answered: Time, durations: LeaseDurations) -> Self {
        Self::from_read_with::<ProductionRules>(started, answered, durations)
    }

    /// [`Self::from_read`] under other rules.
    pub fn from_read_with<R: ProtocolRules>(
        started: Time,
        answered: Time,
        durations: LeaseDurations,
    ) -> Self {
        let read_started = R::lease_start(started, answered);
        Self {
            any_domain_until: read_started + durations.routing,
            read_started,
            own_domain_until: NEVER,
        }
    }

    /// What may be passed on at `now`; `None` if it rests on no read.
    pub fn remaining(&self, now: Time, durations: LeaseDurations) -> Option<RemainingLease> {
        self.remaining_with::<ProductionRules>(now, durations)
    }

    /// [`Self::remaining`] under other rules.
    pub fn remaining_with<R: ProtocolRules>(
        &self,
        now: Time,
        durations: LeaseDurations,
    ) -> Option<RemainingLease> {
        let has_read = self.read_started > Time::ZERO;
        has_read.then(|| RemainingLease {
            any_domain: R::relayed_lease(self.any_domain_until - now, durations.routing),
            age: R::relayed_age(now - self.read_started),
        })
    }

    /// From another instance's answer to a question that was sent at `sent`.
    /// The other measured its spans later than that, so that counting them from
    /// `sent` ends no later than the other's own.
    ///
    /// ```
    /// use {citron_core::{membership::{RoutingLease, RemainingLease}, time::Time}, std::time::Duration};
    /// let remaining = RemainingLease { any_domain: Duration::from_micros(30), age: Duration::from_micros(5) };
    /// let lease = RoutingLease::from_relay(Time::from_micros(100), remaining);
    /// assert_eq!(lease.any_domain_until, Time::from_micros(130));
    /// assert_eq!(lease.read_started, Time::from_micros(95));
    /// ```
    pub fn from_relay(sent: Time, remaining: RemainingLease) -> Self {
        let age = u64::try_from(remaining.age.as_micros()).unwrap_or(u64::MAX);
        Self {
            any_domain_until: sent + remaining.any_domain,
            read_started: Time::from_micros(sent.as_micros().saturating_sub(age)),
            own_domain_until: NEVER,
        }
    }

    /// The later of two, each end by itself. Both must be of the map in force
    /// or of an older one: whatever an older revision's confirmation rules out
    /// until its end, a newer revision's does too.
    pub fn merge(self, other: Self) -> Self {
        Self {
            any_domain_until: self.any_domain_until.max(other.any_domain_until),
            read_started: self.read_started.max(other.read_started),
            own_domain_until: self.own_domain_until.max(other.own_domain_until),
        }
    }

    /// When the leave ends; `is_own_domain` says that the server is in the instance's own
    /// failure domain, `grace` is the service's.
    pub fn end(&self, is_own_domain: bool, grace: Duration) -> Time {
        let own_domain_until = self.own_domain_until.min(self.read_started + grace);
        match is_own_domain {
            true => self.any_domain_until.max(own_domain_until),
            false => self.any_domain_until,
        }
    }

    /// Whether a request may be written now.
    pub fn allows(&self, now: Time, is_own_domain: bool, grace: Duration) -> bool {
        now < self.end(is_own_domain, grace)
    }
}
