//! Commits of the map.

use {
    super::{
        COPY_AGE_MAX, Order, OrderOutcome, OwnerState, Owners, Reconciler,
        moves::{Move, MovePhase},
    },
    crate::{
        id::{Epoch, ServerName},
        ranges::{KeyRange, RangeMap, Slice},
        time::{StoreClock, StoreTime, Time},
    },
    std::{collections::BTreeSet, time::Duration},
};

/// How long a release to a lost server stays unanswered before the end of its lease is
/// written to the map. Servers that are merely leaving answer within this time, and every
/// instance reads each write.
const EXPIRY_DELAY: Duration = Duration::from_millis(1_000);

/// The same for a serving server, which answers once the requests on the keys have ended.
const SERVING_EXPIRY_DELAY: Duration = Duration::from_millis(3_500);

/// Age from which a commit without an answer may be waiting for the end of a store
/// outage.
const OVERDUE_AFTER: Duration = Duration::from_millis(300);

/// How long free keys wait to be committed together. Every instance reads each commit,
/// and most releases of a plan complete close together.
const BATCH_WINDOW: Duration = Duration::from_millis(100);

impl Reconciler {
    /// Orders a commit of new owners, lease ends and raised epochs, unless a commit is in
    /// progress.
    pub(super) fn commit_free_keys(
        &mut self,
        now: Time,
        clock: &StoreClock,
        owners: &impl Owners,
        orders: &mut Vec<Order>,
    ) {
        if self.open_commit.is_some() || self.is_batching(now) {
            return;
        }
        let expiries = self.expiries(now, clock, owners);
        let is_unchanged =
            expiries.is_empty() && self.seen_epochs.is_empty() && self.map.has_reached(self.floor);
        if is_unchanged && !self.moves.iter().any(Move::is_free) {
            return;
        }
        let mut updated = self.map.clone();
        for (range, seen) in &self.seen_epochs {
            raise_epochs(&mut updated, *range, *seen);
        }
        let owner = |pending: &Move| match &pending.phase {
            MovePhase::Free { handover, .. } => {
                Some((pending.range, pending.to.clone(), handover.clone()))
            }
            MovePhase::Releasing { .. } => None,
        };
        updated.raise_to(self.floor);
        updated.assign_all(self.moves.iter().filter_map(owner), self.floor);
        updated.set_expiries(expiries);
        if updated != self.map {
            self.clear_used_handovers(&mut updated);
            self.open_commit = Some((now, updated.clone()));
            orders.push(Order::Commit(updated));
        } else {
            self.drop_raised();
        }
    }

    /// Lease ends of lost owners that are not yet in the map. Written to the map, they
    /// apply to every later planner. A planner knows only the grants that it sent itself;
    /// without the written time, each new planner would restart the wait, and the keys
    /// would have no owner for as long as planners change.
    fn expiries(
        &self,
        now: Time,
        clock: &StoreClock,
        owners: &impl Owners,
    ) -> Vec<(KeyRange, StoreTime)> {
        let is_lost = |pending: &&Move| {
            let is_releasing = matches!(pending.phase, MovePhase::Releasing { .. });
            let from = pending.from.as_ref();
            let delay = from.map(|from| expiry_delay(from, owners));
            is_releasing && delay.is_some_and(|delay| now - pending.started > delay)
        };
        let has_expiry = |pending: &Move| self.map.slice(pending.range.first).expiry.is_some();
        let waiting = self
            .moves
            .iter()
            .filter(is_lost)
            .filter(|pending| !has_expiry(pending));
        let expiry = |pending: &Move| {
            let lease_end = self.leases.store_expiry(pending.last_granted, clock)?;
            let delay = expiry_delay(pending.from.as_ref()?, owners);
            let told_until = clock.at_or_after(pending.started)? + (delay + COPY_AGE_MAX);
            Some((pending.range, lease_end.max(told_until)))
        };
        waiting.filter_map(expiry).collect()
    }

    /// Whether the commit in progress is overdue.
    pub(super) fn is_commit_overdue(&self, now: Time) -> bool {
        let open = self.open_commit.as_ref();
        open.is_some_and(|(started, _)| now - *started > OVERDUE_AFTER)
    }

    /// Whether more keys are expected to become free within the batch window.
    fn is_batching(&self, now: Time) -> bool {
        let is_releasing = |pending: &Move| matches!(pending.phase, MovePhase::Releasing { .. });
        let free_since = |pending: &Move| match pending.phase {
            MovePhase::Free { since, .. } => Some(since),
            MovePhase::Releasing { .. } => None,
        };
        let first = self.moves.iter().filter_map(free_since).min();
        self.moves.iter().any(is_releasing) && first.is_some_and(|first| now - first < BATCH_WINDOW)
    }

    /// Removes handovers that their new owners have received, so that the slices can be
    /// merged.
    fn clear_used_handovers(&self, updated: &mut RangeMap) {
        let is_held = |range| {
            self.renewals
                .get(&range)
                .is_some_and(|renewal| renewal.is_held)
        };
        updated.clear_handovers(|slice| {
            is_held(slice.range) && self.map.slice(slice.range.first) == slice
        });
    }

    /// Applies the outcome of a commit: on success its moves end and their grants become due.
    pub(super) fn complete_commit(&mut self, map: &RangeMap, outcome: &OrderOutcome) {
        // One from before a reload says nothing about the commit in progress.
        if self.open_commit.as_ref().is_none_or(|open| open.1 != *map) {
            return;
        }
        self.open_commit = None;
        if !matches!(outcome, OrderOutcome::Done { .. }) {
            return;
        }
        let is_in_map = |pending: &Move| {
            let slice = map.slice(pending.range.first);
            slice.owner.as_ref() == Some(&pending.to) && slice.epoch >= pending.epoch
        };
        let is_committed = |pending: &Move| pending.is_free() && is_in_map(pending);
        let released = self.moves.iter().filter(|pending| is_committed(pending));
        let released = released.filter(|pending| pending.from.is_some());
        self.awaiting_grant
            .extend(released.map(|pending| pending.range));
        self.moves.retain(|pending| !is_committed(pending));
        self.map = map.clone();
        self.end_fence();
        self.raise_releases();
        self.drop_raised();
        self.renewals.invalidate();
        let owners = self.map.slices().iter();
        let owners: BTreeSet<&ServerName> = owners.filter_map(|s| s.owner.as_ref()).collect();
        self.leases.retain(|server| owners.contains(server));
    }

    /// Drops seen epochs that the map has reached.
    fn drop_raised(&mut self) {
        let map = &self.map;
        self.seen_epochs
            .retain(|(range, seen)| needs_raise(map, *range, *seen));
        self.renewals.invalidate();
    }
}

/// How long a release stays unanswered before the end of the owner's lease is written to the
/// map.
pub fn expiry_delay(owner: &ServerName, owners: &impl Owners) -> Duration {
    match owners.state(owner) {
        OwnerState::Serving => SERVING_EXPIRY_DELAY,
        OwnerState::Leaving | OwnerState::Ended => EXPIRY_DELAY,
    }
}

/// Assigns keys to their current owners again, under an epoch above `seen`.
fn raise_epochs(map: &mut RangeMap, range: KeyRange, seen: Epoch) {
    let raised = |slice: &Slice| {
        let part = slice
            .range
            .intersection(range)
            .filter(|_| is_outdated(slice, seen))?;
        Some(Slice {
            range: part,
            epoch: Epoch(seen.0 + 1),
            handover: None,
            ..slice.clone()
        })
    };
    let raised = map.overlapping(range).filter_map(raised).collect();
    map.replace_all(raised);
}

/// Whether any slice in `range` has an epoch below `seen` and must be raised.
fn needs_raise(map: &RangeMap, range: KeyRange, seen: Epoch) -> bool {
    let mut slices = map.overlapping(range);
    slices.any(|slice| is_outdated(slice, seen))
}

/// Whether the owner of `slice` would reject a grant for it after seeing epoch `seen`.
fn is_outdated(slice: &Slice, seen: Epoch) -> bool {
    slice.owner.is_some() && slice.expiry.is_none() && slice.epoch < seen
}
