//! Commits of the map.

use {
    super::{
        Order, OrderEnd, OwnerState, Owners, Reconciler,
        moves::{Move, Phase},
    },
    crate::{
        ranges::{KeyRange, RangeMap},
        time::{StoreClock, StoreTime, Time},
    },
    std::time::Duration,
};

/// How long a release to a lost server may be unanswered before the end of its
/// lease is written to the map: servers that only leave answer by then, and each
/// write is read by every instance.
const UNANSWERED: Duration = Duration::from_millis(1_000);

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
        let mut next = self.map.clone();
        for range in std::mem::take(&mut self.outdated) {
            raise(&mut next, range);
        }
        for under in &self.moves {
            let Phase::Free { handover, .. } = &under.phase else {
                continue;
            };
            next.assign(under.range, &under.to, handover.clone());
        }
        for (range, expiry) in self.expiries(now, clock, owners) {
            next.expire(range, expiry);
        }
        if next != self.map {
            self.use_handovers(&mut next);
            self.commit = Some(next.clone());
            orders.push(Order::Commit(next));
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
        self.moves
            .retain(|under| !(matches!(under.phase, Phase::Free { .. }) && done(under)));
        self.map = map.clone();
        let listed = &self.map;
        self.book
            .retain(|server| listed.owned(server).next().is_some());
    }
}

/// Gives a slice's keys to their owner anew, under a higher epoch.
fn raise(map: &mut RangeMap, range: KeyRange) {
    let slice = map.slice(range.first).clone();
    if let (Some(owner), None, true) = (&slice.owner, slice.expiry, slice.range == range) {
        map.assign(range, owner, None);
    }
}
