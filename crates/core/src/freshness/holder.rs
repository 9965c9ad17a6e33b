//! Failure detection for the holder of the leadership.

use {
    super::HEARTBEAT_TIMEOUT,
    crate::{id::StoreVersion, time::Time},
};

/// Liveness of the holder of the leadership, by its latest claim and heartbeat.
///
/// A claim counts like a heartbeat: when many instances start together, most of them read
/// the claim before they receive a heartbeat from the claimant.
///
/// ```
/// use {citron_core::{freshness::HolderLiveness, id::StoreVersion, time::Time}, std::time::Duration};
/// let at = |millis| Time::ZERO + Duration::from_millis(millis);
/// let mut liveness = HolderLiveness::new(at(0));
/// liveness.record_claim(StoreVersion(7), at(2_000));
/// assert!(!liveness.is_lost(None, at(3_000)));
/// assert!(liveness.is_lost(None, at(3_600)));
/// assert!(!liveness.is_lost(Some(at(3_500)), at(3_600)));
/// ```
#[derive(Debug)]
pub struct HolderLiveness {
    /// Version of the row that names the holder, and when that version was first seen.
    claim: (StoreVersion, Time),
}

impl HolderLiveness {
    /// A detector of an instance that starts at `now`.
    pub fn new(now: Time) -> Self {
        Self {
            claim: (StoreVersion::NONE, now),
        }
    }

    /// Records the version of the row that names the holder.
    pub fn record_claim(&mut self, version: StoreVersion, now: Time) {
        if version != self.claim.0 {
            self.claim = (version, now);
        }
    }

    /// Whether neither a claim nor a heartbeat has arrived within [`HEARTBEAT_TIMEOUT`].
    pub fn is_lost(&self, last_heartbeat: Option<Time>, now: Time) -> bool {
        let (_, claimed) = self.claim;
        now - last_heartbeat.map_or(claimed, |heartbeat| heartbeat.max(claimed)) > HEARTBEAT_TIMEOUT
    }
}
