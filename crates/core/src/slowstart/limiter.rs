//! Limit on the requests that one instance sends to cold servers.

use {
    super::SlowStartGroup,
    crate::{id::ServerName, time::Time},
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// Window in which requests are counted: the second of the limit, and a margin for
/// requests that are delayed on their way. A newly started instance does not know what it
/// sent before and waits for as long.
pub const COLD_WINDOW: Duration = Duration::from_millis(1_100);

/// Keeps an instance within its share of the requests to cold servers.
///
/// ```
/// use {citron_core::{slowstart::SlowStartLimiter, time::Time}, std::time::Duration};
/// let mut limiter = SlowStartLimiter::default();
/// let server = "s-1".parse().unwrap();
/// let now = Time::ZERO;
/// assert!(limiter.admits(&server, 1, now));
/// limiter.record(&server, now);
/// assert!(!limiter.admits(&server, 1, now + Duration::from_secs(1)));
/// assert!(limiter.admits(&server, 1, now + Duration::from_secs(2)));
/// ```
#[derive(Debug, Default)]
pub struct SlowStartLimiter {
    sent: BTreeMap<ServerName, VecDeque<Time>>,
    /// Shares of this instance in the group of generation `group`.
    shares: BTreeMap<ServerName, u32>,
    group: u64,
}

impl SlowStartLimiter {
    /// This instance's share of a server; `compute` is called again when the group has
    /// changed.
    pub fn share(
        &mut self,
        group: &SlowStartGroup,
        server: &ServerName,
        compute: impl FnOnce() -> u32,
    ) -> u32 {
        if self.group != group.generation() {
            self.group = group.generation();
            self.shares.clear();
        }
        *self.shares.entry(server.clone()).or_insert_with(compute)
    }

    /// Whether a request may be sent to a cold server of which this instance has `share`.
    pub fn admits(&self, server: &ServerName, share: u32, now: Time) -> bool {
        let sent = self.sent.get(server).into_iter().flatten();
        let counted = sent.filter(|at| now - **at < COLD_WINDOW).count();
        counted < share as usize
    }

    /// Counts a request sent to a cold server.
    pub fn record(&mut self, server: &ServerName, now: Time) {
        self.sent.retain(|_, sent| {
            sent.retain(|at| now - *at < COLD_WINDOW);
            !sent.is_empty()
        });
        self.sent.entry(server.clone()).or_default().push_back(now);
    }
}
