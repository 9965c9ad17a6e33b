//! Until when a server may hold keys whatever becomes of the orders to it.

use {
    crate::{
        id::ServerName,
        time::{StoreClock, StoreTime, Time},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Spans of leases and orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTimes {
    /// How long a grant lets a server hold keys, from its arrival there.
    pub lease: Duration,
    /// How often a grant is renewed.
    pub renewal_interval: Duration,
    /// How long an order may wait to be begun; then it is not sent any more.
    pub start_timeout: Duration,
    /// How long an order may be under way. After it the connection is reset, so
    /// that the order cannot arrive later.
    pub order_timeout: Duration,
    /// How long an instance that cannot reach the store goes on renewing.
    pub outage_limit: Duration,
}

impl LeaseTimes {
    /// Nine seconds of hold ride out a cut between failure domains of six, as
    /// renewals are at most 2.5 s old when it begins; 15 s without the store are
    /// beyond the outages seen so far.
    pub const STANDARD: Self = Self {
        lease: Duration::from_secs(9),
        renewal_interval: Duration::from_millis(2_500),
        start_timeout: Duration::from_millis(500),
        order_timeout: Duration::from_millis(700),
        outage_limit: Duration::from_secs(15),
    };

    /// The defaults for servers that take leases of at most `max_transit`; renewals are
    /// as often within a lease.
    ///
    /// ```
    /// use {citron_core::ranges::LeaseTimes, std::time::Duration};
    /// let times = LeaseTimes::with_max_lease(Duration::from_secs(4));
    /// assert_eq!(times.lease, Duration::from_secs(4));
    /// assert!(times.renewal_interval * 3 < times.lease);
    /// ```
    pub fn with_max_lease(max_lease: Duration) -> Self {
        let lease = Self::STANDARD.lease.min(max_lease);
        let fraction = lease.as_secs_f64() / Self::STANDARD.lease.as_secs_f64();
        Self {
            lease,
            renewal_interval: Self::STANDARD.renewal_interval.mul_f64(fraction),
            ..Self::STANDARD
        }
    }

    /// The longest time from the sending of a grant to its end. A server's clock
    /// may run 2% slow, and a tenth of a second covers what the network held.
    pub fn max_validity(&self) -> Duration {
        self.start_timeout
            + self.order_timeout
            + self.lease.mul_f64(1.02)
            + Duration::from_millis(100)
    }
}

/// Grants that a server was sent.
#[derive(Debug, Default)]
struct SentGrants {
    /// The last one that may have arrived.
    last: Time,
    /// Those of which it may still turn out that they surely did not.
    unsettled: Vec<Time>,
}

/// When each server was last sent a grant, by this planner and by former ones.
///
/// A release that is not answered proves nothing: the server may hold the keys
/// until its last lease has run out. A planner that took over knows only until
/// when the former one could still send renewals.
///
/// ```
/// use citron_core::{ranges::{LeaseTracker, LeaseTimes}, time::Time};
/// let times = LeaseTimes::STANDARD;
/// let server = "s-1".parse().unwrap();
/// let mut leases = LeaseTracker::new(times, Time::ZERO);
/// let sent = Time::from_micros(5_000_000);
/// leases.record_sent(&server, sent);
/// assert_eq!(leases.lease_end(leases.last_sent(&server)), sent + times.max_validity());
/// ```
#[derive(Debug)]
pub struct LeaseTracker {
    times: LeaseTimes,
    grants: BTreeMap<ServerName, SentGrants>,
    previous_until: Time,
}

impl LeaseTracker {
    /// A book of a planner before which others may have sent until `previous_until`.
    pub fn new(times: LeaseTimes, previous_until: Time) -> Self {
        Self {
            times,
            grants: BTreeMap::new(),
            previous_until,
        }
    }

    /// Notes that a grant goes out now.
    pub fn record_sent(&mut self, server: &ServerName, now: Time) {
        let max_transit = self.times.start_timeout + self.times.order_timeout;
        let sent = self.grants.entry(server.clone()).or_default();
        let is_settled = |unsettled: &Time| now - *unsettled > max_transit;
        let last = sent.unsettled.iter().copied().filter(is_settled).max();
        sent.last = sent.last.max(last.unwrap_or_default());
        sent.unsettled.retain(|unsettled| !is_settled(unsettled));
        sent.unsettled.push(now);
    }

    /// Learns that a grant noted at a time has surely not left. A server that
    /// crashed takes no connection: without this each vain renewal would count as
    /// one more lease, and its keys would wait 3 s longer than they have to.
    pub fn record_unsent(&mut self, server: &ServerName, at: Time) {
        if let Some(sent) = self.grants.get_mut(server)
            && let Some(index) = sent.unsettled.iter().position(|unsettled| *unsettled == at)
        {
            sent.unsettled.swap_remove(index);
        }
    }

    /// Learns that no former planner sends from `until` on.
    pub fn bound_previous(&mut self, until: Time) {
        self.previous_until = self.previous_until.min(until);
    }

    /// When a server was last sent a grant by this planner that may have arrived.
    pub fn last_sent(&self, server: &ServerName) -> Time {
        let Some(sent) = self.grants.get(server) else {
            return Time::ZERO;
        };
        let unsettled = sent.unsettled.iter().copied().max();
        sent.last.max(unsettled.unwrap_or_default())
    }

    /// When a lease has surely run out whose last grant this planner sent at
    /// `sent`, whatever former planners sent.
    pub fn lease_end(&self, sent: Time) -> Time {
        sent.max(self.previous_until) + self.times.max_validity()
    }

    /// The same on the store's clock, so that it holds for later planners, too;
    /// `None` until the store has answered after the last grant that counts.
    pub fn store_expiry(&self, sent: Time, clock: &StoreClock) -> Option<StoreTime> {
        let last = clock.at_or_after(sent.max(self.previous_until));
        last.map(|last| last + self.times.max_validity())
    }

    /// Forgets servers that hold nothing.
    pub fn retain(&mut self, keep: impl Fn(&ServerName) -> bool) {
        self.grants.retain(|server, _| keep(server));
    }

    /// The spans in force.
    pub fn times(&self) -> &LeaseTimes {
        &self.times
    }
}
