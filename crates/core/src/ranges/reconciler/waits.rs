//! Keys that no server serves, for logs and metrics.

use {
    super::{OwnerState, Owners, Reconciler, moves::MovePhase},
    crate::{
        id::ServerName,
        ranges::KeyRange,
        time::{StoreClock, Time},
    },
    std::time::Duration,
};

/// Time after which a release that has no answer counts as a wait.
const ANSWER_TIME: Duration = Duration::from_secs(1);

/// What the planner waits for before it grants keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitReason {
    /// Servers are asked to release keys that the map does not assign to them.
    Fence,
    /// A server that the map does not name may hold the keys.
    UnknownHolder,
    /// The former owner may hold the keys, and does not answer.
    Lease,
    /// Servers that may get the keys.
    NoServer,
}

impl WaitReason {
    /// Name in logs.
    ///
    /// ```
    /// use citron_core::ranges::WaitReason;
    /// assert_eq!(WaitReason::UnknownHolder.name(), "unknown-holder");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::Fence => "fence",
            Self::UnknownHolder => "unknown-holder",
            Self::Lease => "lease",
            Self::NoServer => "no-server",
        }
    }
}

/// Keys that wait for an owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyWait {
    /// The keys.
    pub range: KeyRange,
    /// The former owner, if the map names one.
    pub owner: Option<ServerName>,
    /// What they wait for.
    pub reason: WaitReason,
    /// Latest end of the wait, if it is known.
    pub until: Option<Time>,
}

impl Reconciler {
    /// Returns the keys that no server is known to serve, as far as the planner knows.
    ///
    /// ```
    /// use citron_core::{
    ///     ranges::{LeaseTimes, LeaseTracker, RangeMap, Reconciler, OwnerState, Owners, WaitReason},
    ///     id::ServerName, time::{StoreClock, Time},
    /// };
    /// struct AllServing;
    /// impl Owners for AllServing {
    ///     fn state(&self, _: &ServerName) -> OwnerState { OwnerState::Serving }
    /// }
    /// let leases = LeaseTracker::new(LeaseTimes::STANDARD, Time::ZERO);
    /// let reconciler = Reconciler::new(RangeMap::new(), leases);
    /// let waits = reconciler.waits(Time::ZERO, &StoreClock::default(), &AllServing);
    /// assert_eq!(waits[0].reason, WaitReason::NoServer);
    /// ```
    pub fn waits(&self, now: Time, clock: &StoreClock, owners: &impl Owners) -> Vec<KeyWait> {
        if self.has_fence() {
            return self.fenced_waits();
        }
        let expiry = |range: KeyRange| self.map.slice(range.first).expiry;
        let told_end = |range| Some(now + clock.time_until(expiry(range)?, now)?);
        let is_waiting = |pending: &&super::Move| {
            let is_releasing = matches!(pending.phase, MovePhase::Releasing { .. });
            let is_silent = pending.from.as_ref().is_some_and(|from| {
                owners.state(from) != OwnerState::Serving || expiry(pending.range).is_some()
            });
            is_releasing && is_silent && now - pending.started > ANSWER_TIME
        };
        let moves = self.moves.iter().filter(is_waiting).map(|pending| KeyWait {
            range: pending.range,
            owner: pending.from.clone(),
            reason: WaitReason::Lease,
            until: told_end(pending.range)
                .or_else(|| Some(self.leases.lease_end(pending.last_granted))),
        });
        let slices = self
            .map
            .slices()
            .iter()
            .filter(|slice| slice.owner.is_none());
        let ownerless = slices.map(|slice| {
            let until = told_end(slice.range);
            let is_held = until.is_some_and(|until| until > now);
            KeyWait {
                range: slice.range,
                owner: None,
                reason: match is_held {
                    true => WaitReason::UnknownHolder,
                    false => WaitReason::NoServer,
                },
                until: until.filter(|_| is_held),
            }
        });
        moves.chain(ownerless).collect()
    }

    /// Keys whose owners have not accepted a renewal behind a fence.
    fn fenced_waits(&self) -> Vec<KeyWait> {
        let wait = |range: KeyRange| KeyWait {
            range,
            owner: self.map.slice(range.first).owner.clone(),
            reason: WaitReason::Fence,
            until: Some(self.leases.lease_end(Time::ZERO)),
        };
        self.unproven_ranges().into_iter().map(wait).collect()
    }
}
