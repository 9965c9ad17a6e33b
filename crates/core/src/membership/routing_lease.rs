//! Routing lease of an instance.

use {
    crate::{
        ownership::{LeaseDurations, ProductionRules, ProtocolRules},
        time::Time,
    },
    std::time::Duration,
};

/// Value of [`RoutingLease::own_domain_until`] without a limit by confirmers; the grace
/// period alone limits the lease.
const NEVER: Time = Time::from_micros(u64::MAX);

/// Lease under which an instance may route by its table revision, in times of its own
/// monotonic clock.
///
/// A lease is always kept together with the map that it confirms. A newer lease with an
/// older map would allow a request to an owner that has been replaced.
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
    /// End of the lease for servers in any failure domain.
    pub any_domain_until: Time,
    /// Start of the platform read that the lease is based on.
    pub read_started: Time,
    /// Until when the confirmers of the instance's own failure domain confirm the
    /// revision.
    pub own_domain_until: Time,
}

/// What remains of a routing lease, relayed to another instance. It consists of durations
/// only, as clocks of two instances are never compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RemainingLease {
    /// Remaining duration of the lease for servers in any failure domain.
    pub any_domain: Duration,
    /// Time since the start of the platform read.
    pub age: Duration,
}

impl RoutingLease {
    /// Creates a lease from a platform read with these start and answer times.
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

    /// Same as [`Self::from_read`], with the given rules.
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

    /// Returns what may be relayed at `now`; `None` if the lease is not based on a read.
    pub fn remaining(&self, now: Time, durations: LeaseDurations) -> Option<RemainingLease> {
        self.remaining_with::<ProductionRules>(now, durations)
    }

    /// Same as [`Self::remaining`], with the given rules.
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

    /// Creates a lease from another instance's answer to a question sent at `sent`. The
    /// other instance measured the durations after `sent`, so counting them from `sent`
    /// ends the lease no later than the other instance's own.
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

    /// Returns the later of each of both leases' times. Both leases must belong to the
    /// map in force or to an older one: any owner change that an older revision's lease
    /// excludes until its end, a newer revision's lease excludes too.
    pub fn merge(self, other: Self) -> Self {
        Self {
            any_domain_until: self.any_domain_until.max(other.any_domain_until),
            read_started: self.read_started.max(other.read_started),
            own_domain_until: self.own_domain_until.max(other.own_domain_until),
        }
    }

    /// Returns the end of the lease. `is_own_domain` states whether the server is in the
    /// instance's own failure domain; `grace` is the service's grace period.
    pub fn end(&self, is_own_domain: bool, grace: Duration) -> Time {
        let own_domain_until = self.own_domain_until.min(self.read_started + grace);
        match is_own_domain {
            true => self.any_domain_until.max(own_domain_until),
            false => self.any_domain_until,
        }
    }

    /// Returns whether a request may be sent now.
    pub fn allows(&self, now: Time, is_own_domain: bool, grace: Duration) -> bool {
        now < self.end(is_own_domain, grace)
    }
}
