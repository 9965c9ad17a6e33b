//! Intervals and bounds of how tables spread.

use std::time::Duration;

/// What an instance does towards the store. The fewer have a role, the earlier they poll, so
/// that most of the time one call serves all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Plans; there is one.
    Planner,
    /// Reads the store for its failure domain.
    Reader,
    /// Learns of changes from peers.
    Follower,
}

/// The age of a table at which an instance polls the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FreshnessTimes {
    /// Poll interval of the planner.
    pub planner_interval: Duration,
    /// Poll interval of a reader; longer than the planner's by a lost datagram and a busy
    /// processor.
    pub reader_interval: Duration,
    /// Poll interval of a follower; longer than a reader's for the same reason.
    pub follower_interval: Duration,
    /// Mean retry delay after a failed call.
    pub retry_delay: Duration,
    /// Longest retry delay of followers: where hundreds poll, one of them finds the store's
    /// return soon.
    pub max_retry_delay: Duration,
    /// Age above which the store is presumed unreachable. Must stay below three heartbeats of
    /// a server, after which registrations expire.
    pub outage_age: Duration,
}

impl FreshnessTimes {
    /// The defaults; see the fields.
    pub const STANDARD: Self = Self {
        planner_interval: Duration::from_millis(500),
        reader_interval: Duration::from_millis(700),
        follower_interval: Duration::from_millis(900),
        retry_delay: Duration::from_millis(350),
        max_retry_delay: Duration::from_millis(1_400),
        outage_age: Duration::from_millis(1_500),
    };

    /// The retry delay after a number of failures in a row.
    ///
    /// ```
    /// use citron_core::freshness::{FreshnessTimes, Role};
    /// let times = FreshnessTimes::STANDARD;
    /// assert_eq!(times.backoff(Role::Planner, 9), times.retry_delay);
    /// assert_eq!(times.backoff(Role::Follower, 1), times.retry_delay * 2);
    /// assert_eq!(times.backoff(Role::Follower, 9), times.max_retry_delay);
    /// ```
    pub fn backoff(&self, role: Role, failures: u32) -> Duration {
        match role {
            Role::Planner | Role::Reader => self.retry_delay,
            Role::Follower => {
                let delay = self.retry_delay * (1 << failures.min(8));
                delay.min(self.max_retry_delay)
            }
        }
    }

    /// The poll interval of a role.
    pub fn poll_interval(&self, role: Role) -> Duration {
        match role {
            Role::Planner => self.planner_interval,
            Role::Reader => self.reader_interval,
            Role::Follower => self.follower_interval,
        }
    }
}

/// Durations of the steps by which a change spreads to all instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PropagationTimes {
    /// How often an instance checks the ages of its tables.
    pub poll_interval: Duration,
    /// A call to the store or to another instance, on a processor that may be taken away
    /// for most of 100 ms.
    pub call_duration: Duration,
    /// Time between two heartbeats within a failure domain, with few instances.
    pub heartbeat_interval: Duration,
    /// Heartbeats to other failure domains are rarer by this factor.
    pub cross_domain_factor: u32,
    /// How long an instance that should learn of a change by itself lags before it fetches
    /// the table from a peer: bytes between failure domains are paid for.
    pub lag_grace: Duration,
}

impl PropagationTimes {
    /// The defaults; see the fields.
    pub const STANDARD: Self = Self {
        poll_interval: Duration::from_millis(50),
        call_duration: Duration::from_millis(100),
        heartbeat_interval: Duration::from_millis(100),
        cross_domain_factor: 3,
        lag_grace: Duration::from_millis(250),
    };

    /// The longest propagation delay from the store's acknowledgement of a change to each
    /// instance, as long as one of them reaches the store: the last to poll does so, the
    /// datagram that advertises the change is lost, and the hearer's grace period passes.
    ///
    /// ```
    /// use {citron_core::freshness::{FreshnessTimes, PropagationTimes}, std::time::Duration};
    /// let max = PropagationTimes::STANDARD.max_delay(&FreshnessTimes::STANDARD);
    /// assert_eq!(max, Duration::from_millis(1_800));
    /// ```
    pub fn max_delay(&self, times: &FreshnessTimes) -> Duration {
        let poll = times.follower_interval + self.poll_interval + self.call_duration;
        let advertisement = self.heartbeat_interval * self.cross_domain_factor;
        let fetch = self.lag_grace + self.heartbeat_interval + self.call_duration;
        poll + advertisement + fetch
    }
}
