//! Failure detection for the holder of the leadership.

use {
    super::HEARTBEAT_TIMEOUT,
    crate::{
        id::{Incarnation, StoreVersion},
        time::Time,
    },
};

/// What the last heartbeat of an instance tells about its incarnations as holders of the
/// leadership.
///
/// Incarnations have no order: the heartbeat may come from a process before the holder. Only
/// the claim that it names tells that it was sent after that claim. Processes of an instance
/// follow one another, so that all before its sender have ended then.
///
/// ```
/// use citron_core::{freshness::HolderReport, id::{Incarnation, StoreVersion}};
/// let report = |incarnation, claim| HolderReport {
///     incarnation: Incarnation(incarnation),
///     is_planning: false,
///     claim: StoreVersion(claim),
/// };
/// let (holder, claim) = (Incarnation(2), StoreVersion(7));
/// assert!(report(3, 7).shows_end(holder, claim));
/// assert!(!report(1, 5).shows_end(holder, claim));
/// assert!(!report(2, 7).shows_end(holder, claim));
/// ```
#[derive(Debug, Clone, Copy)]
pub struct HolderReport {
    /// The process that sent the heartbeat.
    pub incarnation: Incarnation,
    /// Whether it acted as the holder.
    pub is_planning: bool,
    /// Last claim of the leadership that it knew.
    pub claim: StoreVersion,
}

impl HolderReport {
    /// Whether an incarnation of the instance has certainly ended, which claimed the leadership
    /// at `claim` or before.
    pub fn shows_end(&self, holder: Incarnation, claim: StoreVersion) -> bool {
        self.incarnation != holder && self.claim >= claim
    }

    /// Whether an incarnation of the instance certainly acts no more as the holder, after
    /// another instance claimed the leadership at `successor`.
    pub fn shows_stop(&self, holder: Incarnation, successor: StoreVersion) -> bool {
        self.follows(successor) || self.shows_end(holder, successor)
    }

    /// Whether the instance knows of a claim, and does not act as the holder.
    pub fn follows(&self, claim: StoreVersion) -> bool {
        !self.is_planning && self.claim >= claim
    }
}

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
