//! When a table is fetched from another instance.

use {crate::time::Time, std::time::Duration};

/// Since when each of `N` tables is known to be older than another instance's.
///
/// An instance that should hear of a change by itself is given time for it.
///
/// ```
/// use {citron_core::{freshness::Behind, time::Time}, std::time::Duration};
/// let at = |millis: u64| Time::from_micros(millis * 1_000);
/// let mut behind = Behind::<1>::new(Duration::from_millis(250));
/// assert!(!behind.is_due(0, true, at(100)));
/// assert!(behind.is_due(0, true, at(360)));
/// behind.caught_up(0);
/// assert!(behind.is_due(0, false, at(400)));
/// ```
#[derive(Debug)]
pub struct Behind<const N: usize> {
    patience: Duration,
    since: [Option<Time>; N],
}

impl<const N: usize> Behind<N> {
    /// For instances that wait so long for their own news.
    pub fn new(patience: Duration) -> Self {
        Self {
            patience,
            since: [None; N],
        }
    }

    /// Another instance's table is newer: whether to fetch it now, as there is no
    /// reason to wait, or the time for it is over.
    pub fn is_due(&mut self, table: usize, waits: bool, now: Time) -> bool {
        let since = *self.since[table].get_or_insert(now);
        !waits || now - since > self.patience
    }

    /// A table has taken changes in.
    pub fn caught_up(&mut self, table: usize) {
        self.since[table] = None;
    }
}
