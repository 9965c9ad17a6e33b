//! The fence of a planner after the store came back from a copy.

use {
    super::{Order, Owners, Reconciler, moves::not_moving},
    crate::{
        id::{Epoch, ServerName},
        ranges::{Fence, GrantRecord, KeyRange, RangeMap, Slice},
        time::{StoreClock, StoreTime, Time},
    },
};

impl Reconciler {
    /// Makes sure that servers hold no keys but those of the map before anything is granted:
    /// the store came back from a copy, which may lack moves of earlier planners. Until then
    /// only leases of the map are renewed, under their former epochs.
    pub fn fence(&mut self) {
        self.fence = Some(Fence::new(self.floor, GrantRecord::Lost));
        self.former_until = self.leases.lease_end(Time::ZERO);
    }

    /// Adds registered servers to the fence, if there is one.
    pub fn fence_servers<'a>(
        &mut self,
        servers: impl IntoIterator<Item = &'a ServerName>,
        owners: &impl Owners,
        now: Time,
    ) {
        if self.fence.is_some() {
            let moving = self.moving_ranges();
            if let Some(fence) = &mut self.fence {
                fence.include(&self.map, &moving, servers, owners, now);
            }
        }
    }

    /// Whether moves and grants wait for the fence.
    pub(super) fn is_fencing(&mut self, now: Time) -> bool {
        let have_leases_ended = now >= self.leases.lease_end(Time::ZERO);
        let is_over = |fence: &Fence| {
            let is_proven = fence.record() == GrantRecord::Complete && fence.is_done(now);
            is_proven || have_leases_ended
        };
        if self.fence.as_ref().is_some_and(is_over) {
            self.fence = None;
        }
        self.fence.is_some()
    }

    /// Starts the fence anew after another map was loaded. One of this era needs none.
    pub(super) fn restart_fence(&mut self) {
        let Some(fence) = &self.fence else { return };
        if fence.record() == GrantRecord::Lost {
            let is_of_era = self.map.is_above(self.floor);
            self.fence = (!is_of_era).then(|| Fence::new(self.floor, GrantRecord::Lost));
        }
    }

    /// Returns the releases and renewals that are due, and the commit that ends the fence.
    pub(super) fn fence_orders(
        &mut self,
        now: Time,
        clock: &StoreClock,
        owners: &impl Owners,
    ) -> Vec<Order> {
        let fence = self.fence.as_mut();
        let mut orders = fence.map_or_else(Vec::new, |fence| fence.orders(now, owners));
        if now < self.former_until {
            self.send_renewals(now, owners, &mut orders);
        }
        if let Some(map) = self.fenced_map(now, clock, owners) {
            self.open_commit = Some((now, map.clone()));
            orders.push(Order::Commit(map));
        }
        orders
    }

    /// Ends the fence with the commit of its map.
    pub(super) fn end_fence(&mut self) {
        if self.fence.take().is_some() {
            self.moves.clear();
            self.awaiting_grant.clear();
        }
    }

    /// The map that follows from the renewals: keys without a proven owner have none until all
    /// leases have ended. `None` while servers have not answered, and during a commit.
    fn fenced_map(&self, now: Time, clock: &StoreClock, owners: &impl Owners) -> Option<RangeMap> {
        let fence = self.fence.as_ref().filter(|fence| fence.is_done(now))?;
        let is_renewed = |range: KeyRange| {
            let owner = self.map.slice(range.first).owner.as_ref();
            owner.is_some_and(|owner| self.may_renew(owner, owners))
        };
        let mut untried = self.renewals.untried();
        if self.open_commit.is_some() || untried.any(is_renewed) {
            return None;
        }
        let started = fence.started()?;
        let unproven = self.unproven_ranges();
        let held_until = |range: KeyRange| -> Option<(KeyRange, StoreTime)> {
            let owner = self.map.slice(range.first).owner.as_ref();
            let sent = owner.map_or(Time::ZERO, |owner| self.leases.last_sent(owner));
            let until = self.leases.store_expiry_since(started, sent, clock)?;
            Some((range, until))
        };
        let unproven: Option<Vec<_>> = unproven.into_iter().map(held_until).collect();
        let mut map = self.map.clone();
        map.disown_all(unproven?, self.floor);
        map.raise_to(self.floor);
        Some(map)
    }

    /// Ranges whose owner has not accepted a renewal under the epoch of the map. It rejects one
    /// after a release; without a release, the map would tell the end of its lease.
    pub(super) fn unproven_ranges(&self) -> Vec<KeyRange> {
        let moving = self.moving_ranges();
        let is_proven = |range: &KeyRange, epoch: Epoch| {
            let renewal = self.renewals.get(range);
            renewal.is_some_and(|renewal| renewal.is_held && renewal.epoch == epoch)
        };
        let unproven = |slice: &Slice| -> Vec<KeyRange> {
            let mut proven = not_moving(slice.range, &moving);
            proven.retain(|range| is_proven(range, slice.epoch));
            not_moving(slice.range, &proven)
        };
        self.map.slices().iter().flat_map(unproven).collect()
    }
}
