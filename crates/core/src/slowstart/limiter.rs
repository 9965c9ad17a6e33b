//! Counts what one instance sends to cold servers.

use {
    super::SlowStartGroup,
    crate::{id::ServerName, time::Time},
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// The window of the bound, and some for requests that are held up on their way. An
/// instance that has started does not know what it sent before.
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
    /// Shares by the group of this number.
    shares: BTreeMap<ServerName, u32>,
    group: u64,
}

impl SlowStartLimiter {
    /// This instance's share in a server, worked out anew where the group has changed.
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

    /// Whether a request may go to a cold server of which this instance has a share.
    pub fn admits(&self, server: &ServerName, share: u32, now: Time) -> bool {
        let sent = self.sent.get(server).into_iter().flatten();
        let counted = sent.filter(|at| now - **at < COLD_WINDOW).count();
        counted < share as usize
    }

    /// A request goes to a cold server.
    pub fn record(&mut self, server: &ServerName, now: Time) {
        self.sent.retain(|_, sent| {
            sent.retain(|at| now - *at < COLD_WINDOW);
            !sent.is_empty()
        });
        self.sent.entry(server.clone()).or_default().push_back(now);
    }
}
