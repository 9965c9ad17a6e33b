//! Intervals and limits of table propagation.

use std::time::Duration;

/// The polling role of an instance. A role that fewer instances have polls earlier, so
/// that one call to the store usually serves all instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// The one instance that plans moves of keys.
    Planner,
    /// An instance that reads the store on behalf of its failure domain.
    Reader,
    /// An instance that receives changes from peers.
    Follower,
}

/// Table ages at which instances poll the store, and delays between retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FreshnessTimes {
    /// Poll interval of the planner.
    pub planner_interval: Duration,
    /// Poll interval of a reader. It exceeds the planner's by enough for one lost
    /// datagram and a busy processor.
    pub reader_interval: Duration,
    /// Poll interval of a follower, which exceeds a reader's for the same reason.
    pub follower_interval: Duration,
    /// Mean retry delay after a failed call.
    pub retry_delay: Duration,
    /// Longest retry delay of followers. With hundreds of followers, one of them still
    /// detects soon that the store is reachable again.
    pub max_retry_delay: Duration,
    /// Age above which the store is presumed unreachable. It must stay below three
    /// heartbeat intervals of a backend server, after which registrations expire.
    pub outage_age: Duration,
}

impl FreshnessTimes {
    /// The values in production.
    pub const STANDARD: Self = Self {
        planner_interval: Duration::from_millis(500),
        reader_interval: Duration::from_millis(700),
        follower_interval: Duration::from_millis(900),
        retry_delay: Duration::from_millis(350),
        max_retry_delay: Duration::from_millis(1_400),
        outage_age: Duration::from_millis(1_500),
    };

    /// The retry delay after `failures` consecutive failed calls.
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

/// Durations of the steps by which a change propagates to all instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PropagationTimes {
    /// How often an instance checks the ages of its tables.
    pub poll_interval: Duration,
    /// Time for a call to the store or to another instance, on a processor whose quota
    /// may suspend the process for most of 100 ms.
    pub call_duration: Duration,
    /// Time between two heartbeats within a small failure domain; larger ones use a
    /// multiple.
    pub heartbeat_interval: Duration,
    /// Factor by which heartbeats to other failure domains are less frequent.
    pub cross_domain_factor: u32,
    /// How long an instance that will receive a change anyway lags behind before it
    /// fetches the table from a peer, since traffic between failure domains is billed.
    pub lag_grace: Duration,
}

impl PropagationTimes {
    /// The values in production.
    pub const STANDARD: Self = Self {
        poll_interval: Duration::from_millis(50),
        call_duration: Duration::from_millis(100),
        heartbeat_interval: Duration::from_millis(100),
        cross_domain_factor: 3,
        lag_grace: Duration::from_millis(250),
    };

    /// The longest propagation delay from the store's acknowledgement of a change to
    /// every instance, as long as one instance reaches the store. In the worst case that
    /// instance is a follower, which polls last, the datagram that advertises the change
    /// is lost, and the receiver waits for its grace period before it fetches the table.
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
