//! When the holder of a leadership counts as lost.

use {super::HEARTBEAT_TIMEOUT, crate::time::Time};

/// How long the holder of a leadership has been silent.
///
/// A claim is a sign of life: where many instances start together, most learn of a claim
/// before they hear a heartbeat of the claimant.
///
/// ```
/// use {citron_core::{freshness::HolderLiveness, time::Time}, std::time::Duration};
/// let at = |millis| Time::ZERO + Duration::from_millis(millis);
/// let mut liveness = HolderLiveness::new(at(0));
/// liveness.record_claim(7, at(2_000));
/// assert!(!liveness.is_lost(None, at(3_000)));
/// assert!(liveness.is_lost(None, at(3_600)));
/// assert!(!liveness.is_lost(Some(at(3_500)), at(3_600)));
/// ```
#[derive(Debug)]
pub struct HolderLiveness {
    /// Version of the row that names the holder, and when it was first seen.
    claim: (u64, Time),
}

impl HolderLiveness {
    /// For an instance that started now.
    pub fn new(now: Time) -> Self {
        Self { claim: (0, now) }
    }

    /// The row that names the holder has a version.
    pub fn record_claim(&mut self, version: u64, now: Time) {
        if version != self.claim.0 {
            self.claim = (version, now);
        }
    }

    /// Whether a holder that was last heard at a moment counts as lost.
    pub fn is_lost(&self, last_heartbeat: Option<Time>, now: Time) -> bool {
        let (_, claimed) = self.claim;
        now - last_heartbeat.map_or(claimed, |heartbeat| heartbeat.max(claimed)) > HEARTBEAT_TIMEOUT
    }
}
