//! Commits of the map.

use {
    super::{
        Order, OrderEnd, OwnerState, Owners, Reconciler,
        moves::{Move, Phase},
    },
    crate::{
        id::{Epoch, ServerName},
        ranges::{KeyRange, RangeMap, Slice},
        time::{StoreClock, StoreTime, Time},
    },
    std::{collections::BTreeSet, time::Duration},
};

/// How long a release to a lost server may be unanswered before the end of its
/// lease is written to the map: servers that only leave answer by then, and each
/// write is read by every instance.
const UNANSWERED: Duration = Duration::from_millis(1_000);

/// A commit without an answer for so long may wait for the end of an outage.
const OVERDUE: Duration = Duration::from_millis(300);

/// How long keys that are free wait for others of the same round: each commit
/// is read by every instance, and most releases of a round end close together.
const GATHER: Duration = Duration::from_millis(100);

impl Reconciler {
    pub(super) fn commit_free(
        &mut self,
        now: Time,
        clock: &StoreClock,
        owners: &impl Owners,
        orders: &mut Vec<Order>,
    ) {
        if self.commit.is_some() || self.gathers(now) {
            return;
        }
        let expiries = self.expiries(now, clock, owners);
        let nothing = expiries.is_empty() && self.outdated.is_empty();
        if nothing && !self.moves.iter().any(Move::is_free) {
            return;
        }
        let mut next = self.map.clone();
        for (range, seen) in &self.outdated {
            raise(&mut next, *range, *seen);
        }
        let owner = |under: &Move| match &under.phase {
            Phase::Free { handover, .. } => Some((under.range, under.to.clone(), handover.clone())),
            Phase::Releasing { .. } => None,
        };
        next.assign_all(self.moves.iter().filter_map(owner));
        next.expire_all(expiries);
        if next != self.map {
            self.use_handovers(&mut next);
            self.commit = Some(now);
            orders.push(Order::Commit(next));
        } else {
            self.forget_raised();
        }
    }

    /// Keys that wait for the end of a lost owner's lease, and when that is. Written
    /// to the map it holds for every planner after this one: each of them knows of
    /// no grant but its own, and would count the wait from its own begin, so that
    /// keys stayed without an owner for as long as planners changed.
    fn expiries(
        &self,
        now: Time,
        clock: &StoreClock,
        owners: &impl Owners,
    ) -> Vec<(KeyRange, StoreTime)> {
        let lost = |under: &&Move| {
            let waits = matches!(under.phase, Phase::Releasing { .. });
            let serves = |from| owners.state(from) == OwnerState::Serving;
            waits && now - under.begun > UNANSWERED && !under.from.as_ref().is_some_and(serves)
        };
        let known = |under: &Move| self.map.slice(under.range.first).expiry.is_some();
        let waiting = self.moves.iter().filter(lost).filter(|under| !known(under));
        let expiry = |under: &Move| Some((under.range, self.book.expiry(under.granted, clock)?));
        waiting.filter_map(expiry).collect()
    }

    /// Whether the outcome of a commit has been unknown for long.
    pub(super) fn is_commit_overdue(&self, now: Time) -> bool {
        self.commit.is_some_and(|ordered| now - ordered > OVERDUE)
    }

    /// Whether more keys are expected to be free shortly.
    fn gathers(&self, now: Time) -> bool {
        let waits = |under: &Move| matches!(under.phase, Phase::Releasing { .. });
        let free = |under: &Move| match under.phase {
            Phase::Free { since, .. } => Some(since),
            Phase::Releasing { .. } => None,
        };
        let first = self.moves.iter().filter_map(free).min();
        self.moves.iter().any(waits) && first.is_some_and(|first| now - first < GATHER)
    }

    /// Takes out the handovers that their owners have, so that slices join.
    fn use_handovers(&self, next: &mut RangeMap) {
        let held = |range| {
            self.renewals
                .get(&range)
                .is_some_and(|renewal| renewal.held)
        };
        next.take_handovers(|slice| {
            held(slice.range) && self.map.slice(slice.range.first) == slice
        });
    }

    pub(super) fn committed(&mut self, map: &RangeMap, end: &OrderEnd) {
        self.commit = None;
        if !matches!(end, OrderEnd::Done { .. }) {
            return;
        }
        let done = |under: &Move| {
            let slice = map.slice(under.range.first);
            slice.owner.as_ref() == Some(&under.to) && slice.epoch >= under.epoch
        };
        let ended = |under: &Move| under.is_free() && done(under);
        let handed = self.moves.iter().filter(|under| ended(under));
        let handed = handed.filter(|under| under.from.is_some());
        self.handed.extend(handed.map(|under| under.range));
        self.moves.retain(|under| !ended(under));
        self.map = map.clone();
        self.forget_raised();
        self.renewals.invalidate();
        let owners = self.map.slices().iter();
        let owners: BTreeSet<&ServerName> = owners.filter_map(|s| s.owner.as_ref()).collect();
        self.book.retain(|server| owners.contains(server));
    }

    fn forget_raised(&mut self) {
        let map = &self.map;
        self.outdated
            .retain(|(range, seen)| needs_raise(map, *range, *seen));
        self.renewals.invalidate();
    }
}

/// Gives keys to their owners anew, under an epoch above one that those have seen.
fn raise(map: &mut RangeMap, range: KeyRange, seen: Epoch) {
    let raised = |slice: &Slice| {
        let part = slice
            .range
            .common(range)
            .filter(|_| is_outdated(slice, seen))?;
        Some(Slice {
            range: part,
            epoch: Epoch(seen.0 + 1),
            handover: None,
            ..slice.clone()
        })
    };
    let raised = map.touching(range).filter_map(raised).collect();
    map.put_all(raised);
}

fn needs_raise(map: &RangeMap, range: KeyRange, seen: Epoch) -> bool {
    let mut slices = map.touching(range);
    slices.any(|slice| is_outdated(slice, seen))
}

/// Whether a slice's owner would refuse a grant of it, having seen an epoch.
fn is_outdated(slice: &Slice, seen: Epoch) -> bool {
    slice.owner.is_some() && slice.expiry.is_none() && slice.epoch < seen
}
