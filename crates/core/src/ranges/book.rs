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
    pub hold: Duration,
    /// How often a grant is renewed.
    pub renew: Duration,
    /// How long an order may wait to be begun; then it is not sent any more.
    pub start: Duration,
    /// How long an order may be under way. After it the connection is reset, so
    /// that the order cannot arrive later.
    pub order: Duration,
    /// How long an instance that cannot reach the store goes on renewing.
    pub blind: Duration,
}

impl LeaseTimes {
    /// Nine seconds of hold ride out a cut between failure domains of six, as
    /// renewals are at most 2.5 s old when it begins; 15 s without the store are
    /// beyond the outages seen so far.
    pub const STANDARD: Self = Self {
        hold: Duration::from_secs(9),
        renew: Duration::from_millis(2_500),
        start: Duration::from_millis(500),
        order: Duration::from_millis(700),
        blind: Duration::from_secs(15),
    };

    /// The defaults for servers that take leases of at most `most`; renewals are
    /// as often within a lease.
    ///
    /// ```
    /// use {citron_core::ranges::LeaseTimes, std::time::Duration};
    /// let times = LeaseTimes::within(Duration::from_secs(4));
    /// assert_eq!(times.hold, Duration::from_secs(4));
    /// assert!(times.renew * 3 < times.hold);
    /// ```
    pub fn within(most: Duration) -> Self {
        let hold = Self::STANDARD.hold.min(most);
        let part = hold.as_secs_f64() / Self::STANDARD.hold.as_secs_f64();
        Self {
            hold,
            renew: Self::STANDARD.renew.mul_f64(part),
            ..Self::STANDARD
        }
    }

    /// The longest time from the sending of a grant to its end. A server's clock
    /// may run 2% slow, and a tenth of a second covers what the network held.
    pub fn reach(&self) -> Duration {
        self.start + self.order + self.hold.mul_f64(1.02) + Duration::from_millis(100)
    }
}

/// Grants that a server was sent.
#[derive(Debug, Default)]
struct Sent {
    /// The last one that may have arrived.
    last: Time,
    /// Those of which it may still turn out that they surely did not.
    open: Vec<Time>,
}

/// When each server was last sent a grant, by this planner and by former ones.
///
/// A release that is not answered proves nothing: the server may hold the keys
/// until its last lease has run out. A planner that took over knows only until
/// when the former one could still send renewals.
///
/// ```
/// use citron_core::{ranges::{LeaseBook, LeaseTimes}, time::Time};
/// let times = LeaseTimes::STANDARD;
/// let server = "s-1".parse().unwrap();
/// let mut book = LeaseBook::new(times, Time::ZERO);
/// let sent = Time::from_micros(5_000_000);
/// book.sent(&server, sent);
/// assert_eq!(book.ends(book.last(&server)), sent + times.reach());
/// ```
#[derive(Debug)]
pub struct LeaseBook {
    times: LeaseTimes,
    sent: BTreeMap<ServerName, Sent>,
    foreign: Time,
}

impl LeaseBook {
    /// A book of a planner before which others may have sent until `foreign`.
    pub fn new(times: LeaseTimes, foreign: Time) -> Self {
        Self {
            times,
            sent: BTreeMap::new(),
            foreign,
        }
    }

    /// Notes that a grant goes out now.
    pub fn sent(&mut self, server: &ServerName, now: Time) {
        let most = self.times.start + self.times.order;
        let sent = self.sent.entry(server.clone()).or_default();
        let settled = |open: &Time| now - *open > most;
        let last = sent.open.iter().copied().filter(settled).max();
        sent.last = sent.last.max(last.unwrap_or_default());
        sent.open.retain(|open| !settled(open));
        sent.open.push(now);
    }

    /// Learns that a grant noted at a time has surely not left. A server that
    /// crashed takes no connection: without this each vain renewal would count as
    /// one more lease, and its keys would wait 3 s longer than they have to.
    pub fn not_sent(&mut self, server: &ServerName, at: Time) {
        if let Some(sent) = self.sent.get_mut(server)
            && let Some(place) = sent.open.iter().position(|open| *open == at)
        {
            sent.open.swap_remove(place);
        }
    }

    /// Learns that no former planner sends from `until` on.
    pub fn settle_foreign(&mut self, until: Time) {
        self.foreign = self.foreign.min(until);
    }

    /// When a server was last sent a grant by this planner that may have arrived.
    pub fn last(&self, server: &ServerName) -> Time {
        let Some(sent) = self.sent.get(server) else {
            return Time::ZERO;
        };
        let open = sent.open.iter().copied().max();
        sent.last.max(open.unwrap_or_default())
    }

    /// When a lease has surely run out whose last grant this planner sent at
    /// `sent`, whatever former planners sent.
    pub fn ends(&self, sent: Time) -> Time {
        sent.max(self.foreign) + self.times.reach()
    }

    /// The same on the store's clock, so that it holds for later planners, too;
    /// `None` until the store has answered after the last grant that counts.
    pub fn expiry(&self, sent: Time, clock: &StoreClock) -> Option<StoreTime> {
        let last = clock.at_or_after(sent.max(self.foreign));
        last.map(|last| last + self.times.reach())
    }

    /// Forgets servers that hold nothing.
    pub fn retain(&mut self, keep: impl Fn(&ServerName) -> bool) {
        self.sent.retain(|server, _| keep(server));
    }

    /// The spans in force.
    pub fn times(&self) -> &LeaseTimes {
        &self.times
    }
}
