//! Tracking of how long a server may still hold keys, whether or not it answers.

use {
    crate::{
        id::ServerName,
        time::{StoreClock, StoreTime, Time},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Lease durations and order timeouts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTimes {
    /// Duration of a lease, from the arrival of the grant at the server.
    pub lease: Duration,
    /// Interval between renewals of a grant.
    pub renewal_interval: Duration,
    /// Longest delay between deciding on an order and sending it; after that it is not
    /// sent.
    pub start_timeout: Duration,
    /// Longest time an order may take. After it the connection is reset, so that the
    /// order cannot arrive later.
    pub order_timeout: Duration,
    /// How long an instance keeps renewing leases while it cannot reach the store.
    pub outage_limit: Duration,
}

impl LeaseTimes {
    /// Default durations. A lease of 9 s survives a network partition of 6 s between
    /// failure domains, as the last renewal is at most 2.5 s old when the partition
    /// begins. 15 s without the store exceed every outage observed so far.
    pub const STANDARD: Self = Self {
        lease: Duration::from_secs(9),
        renewal_interval: Duration::from_millis(2_500),
        start_timeout: Duration::from_millis(500),
        order_timeout: Duration::from_millis(700),
        outage_limit: Duration::from_secs(15),
    };

    /// Defaults for servers that accept leases of at most `max_lease`. The renewal
    /// interval shrinks in proportion to the lease.
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

    /// Longest time between the decision to send an order and its arrival.
    ///
    /// ```
    /// use {citron_core::ranges::LeaseTimes, std::time::Duration};
    /// assert_eq!(LeaseTimes::STANDARD.max_transit(), Duration::from_millis(1_200));
    /// ```
    pub fn max_transit(&self) -> Duration {
        self.start_timeout + self.order_timeout
    }

    /// Longest time between the decision to send a grant and the end of its lease. Allows
    /// for a server clock that runs 2% slow and 100 ms of network delay.
    pub fn max_validity(&self) -> Duration {
        self.max_transit() + self.lease.mul_f64(1.02) + Duration::from_millis(100)
    }
}

impl LeaseTimes {
    /// Longest time for which a server may hold keys after the planners in contact with the
    /// store have learned that it is gone: a planner that is cut off renews for as long as it
    /// may act.
    pub fn max_holding(&self) -> Duration {
        self.outage_limit + self.max_validity()
    }
}

/// Times of the grants sent to one server.
#[derive(Debug, Default)]
struct SentGrants {
    /// The last grant that may have arrived and can no longer turn out to be unsent.
    last: Time,
    /// Grants that can still turn out to be unsent.
    unsettled: Vec<Time>,
}

/// Time of the last grant to each server, sent by this planner or by earlier ones.
///
/// A release without an answer proves nothing: the server may hold the keys until its
/// last lease ends. Of an earlier planner, the new one knows only until when it can have
/// sent renewals.
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
    /// Time until which earlier planners may have sent grants.
    previous_until: Time,
}

impl LeaseTracker {
    /// Creates a tracker for a planner whose predecessors may have sent grants until
    /// `previous_until`.
    pub fn new(times: LeaseTimes, previous_until: Time) -> Self {
        Self {
            times,
            grants: BTreeMap::new(),
            previous_until,
        }
    }

    /// Records that a grant is sent now.
    pub fn record_sent(&mut self, server: &ServerName, now: Time) {
        let max_transit = self.times.max_transit();
        let sent = self.grants.entry(server.clone()).or_default();
        let is_settled = |unsettled: &Time| now - *unsettled > max_transit;
        let last = sent.unsettled.iter().copied().filter(is_settled).max();
        sent.last = sent.last.max(last.unwrap_or_default());
        sent.unsettled.retain(|unsettled| !is_settled(unsettled));
        sent.unsettled.push(now);
    }

    /// Removes the record of a grant that was certainly not sent. A crashed server
    /// accepts no connection: if each failed renewal counted as a lease, its keys would
    /// stay without an owner 3 s longer than necessary.
    pub fn record_unsent(&mut self, server: &ServerName, at: Time) {
        if let Some(sent) = self.grants.get_mut(server)
            && let Some(index) = sent.unsettled.iter().position(|unsettled| *unsettled == at)
        {
            sent.unsettled.swap_remove(index);
        }
    }

    /// Records that no earlier planner sends grants after `until`.
    pub fn bound_previous(&mut self, until: Time) {
        self.previous_until = self.previous_until.min(until);
    }

    /// Records that other planners may send grants until `until`.
    pub fn extend_previous(&mut self, until: Time) {
        self.previous_until = self.previous_until.max(until);
    }

    /// Time of the last grant from this planner that may have reached the server.
    pub fn last_sent(&self, server: &ServerName) -> Time {
        let Some(sent) = self.grants.get(server) else {
            return Time::ZERO;
        };
        let unsettled = sent.unsettled.iter().copied().max();
        sent.last.max(unsettled.unwrap_or_default())
    }

    /// End of the lease if this planner sent the last grant at `sent`, including grants
    /// that earlier planners may have sent.
    pub fn lease_end(&self, sent: Time) -> Time {
        sent.max(self.previous_until) + self.times.max_validity()
    }

    /// Like [`Self::lease_end`] on the store's clock, so that it is valid for later
    /// planners too. `None` until the store has answered a call begun after the last
    /// grant.
    pub fn store_expiry(&self, sent: Time, clock: &StoreClock) -> Option<StoreTime> {
        let last = clock.at_or_after(sent.max(self.previous_until));
        last.map(|last| last + self.times.max_validity())
    }

    /// Like [`Self::store_expiry`] while earlier planners may still send grants: counted from
    /// the store's answer to a call begun at `moment` or later.
    pub fn store_expiry_since(
        &self,
        moment: Time,
        sent: Time,
        clock: &StoreClock,
    ) -> Option<StoreTime> {
        let known = clock.at_or_after(moment)?;
        Some(known + (self.lease_end(sent) - moment))
    }

    /// Drops the records of servers for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&ServerName) -> bool) {
        self.grants.retain(|server, _| keep(server));
    }

    /// The durations in use.
    pub fn times(&self) -> &LeaseTimes {
        &self.times
    }
}
