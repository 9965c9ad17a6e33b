//! Drives grants, releases and moves of one service's keys.

mod commits;
mod moves;
mod order;
mod renewals;
mod send_window;

use {
    super::{Balancer, KeyRange, LeaseTracker, MoveNotice, OwnerHint, RangeMap},
    crate::{
        id::Epoch,
        time::{StoreClock, Time},
    },
    moves::{Move, not_moving},
    renewals::Renewals,
    std::{collections::BTreeSet, time::Duration},
};

pub use order::{Order, OrderOutcome, OwnerState, Owners, PlanScope};

/// First pause before an order is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// The planner's work on one service.
///
/// Keys change hands in this order: release at the old owner, commit of the
/// new one, grant. A planner that is lost in between leaves nothing dangerous
/// behind: before the commit the old owner refuses renewals under its old epoch
/// and gets a higher one from the next planner; after it the new owner does.
/// Where the release stays unanswered, the keys wait until the old owner's
/// last lease has run out, unless its start has surely ended.
#[derive(Debug)]
pub struct Reconciler {
    map: RangeMap,
    leases: LeaseTracker,
    moves: Vec<Move>,
    renewals: Renewals,
    /// Keys that were released for a move and are not granted to their next owner yet.
    awaiting_grant: BTreeSet<KeyRange>,
    /// Keys whose owner has seen this epoch, which is above that of their slice.
    seen_epochs: Vec<(KeyRange, Epoch)>,
    /// When the commit under way was ordered.
    commit_started: Option<Time>,
}

impl Reconciler {
    /// Takes over the map as it lies in the store.
    pub fn new(map: RangeMap, leases: LeaseTracker) -> Self {
        Self {
            map,
            leases,
            moves: Vec::new(),
            renewals: Renewals::default(),
            awaiting_grant: BTreeSet::new(),
            seen_epochs: Vec::new(),
            commit_started: None,
        }
    }

    /// Takes in what a former planner told of a move that it may not have finished: the
    /// owner has seen the epoch of the release and refuses any grant below it.
    pub fn restore_release(&mut self, notice: &MoveNotice) {
        let newer = notice.epoch > self.map.max_epoch(notice.range);
        if newer && notice.hint == OwnerHint::Released {
            self.seen_epochs.push((notice.range, notice.epoch));
            self.awaiting_grant.insert(notice.range);
        }
    }

    /// Moves under way.
    pub fn move_count(&self) -> usize {
        self.moves.len()
    }

    /// Starts anew with the map as it lies in the store. What was sent to whom
    /// stays known.
    pub fn reload(&mut self, map: RangeMap) {
        self.map = map;
        self.moves.clear();
        self.renewals = Renewals::default();
        self.awaiting_grant.clear();
        self.seen_epochs.clear();
        self.commit_started = None;
    }

    /// The map as last committed.
    pub fn map(&self) -> &RangeMap {
        &self.map
    }

    /// The book of leases.
    pub fn leases_mut(&mut self) -> &mut LeaseTracker {
        &mut self.leases
    }

    /// What is to be done now: a plan, and the orders that follow.
    pub fn tick(
        &mut self,
        now: Time,
        clock: &StoreClock,
        owners: &impl Owners,
        balancer: &mut Balancer<'_>,
        scope: PlanScope,
    ) -> Vec<Order> {
        self.plan(now, clock, owners, balancer, scope);
        self.orders(now, clock, owners)
    }

    /// Decides which keys move. Looks at every slice.
    pub fn plan(
        &mut self,
        now: Time,
        clock: &StoreClock,
        owners: &impl Owners,
        balancer: &mut Balancer<'_>,
        scope: PlanScope,
    ) {
        self.compute_loads(balancer);
        self.free_expired(now, clock, owners);
        self.retarget(owners, balancer);
        self.reassign_unserved(now, owners, balancer, scope.may_assign);
        if scope.may_rebalance && !self.is_commit_overdue(now) {
            self.rebalance(now, balancer);
        }
    }

    /// The orders that are due. Looks at moves and at what is due only.
    pub fn orders(&mut self, now: Time, clock: &StoreClock, owners: &impl Owners) -> Vec<Order> {
        let mut orders = Vec::new();
        self.free_expired(now, clock, owners);
        // Keys that are released during an outage of the store have no owner until its end.
        if !self.is_commit_overdue(now) {
            self.send_releases(now, &mut orders);
        }
        self.commit_free_keys(now, clock, owners, &mut orders);
        self.send_renewals(now, &mut orders);
        orders
    }

    fn compute_loads(&self, balancer: &mut Balancer<'_>) {
        let moving = self.moving_ranges();
        for slice in self.map.slices() {
            if let Some(owner) = &slice.owner {
                for part in not_moving(slice.range, &moving) {
                    balancer.add_load(owner, part);
                }
            }
        }
        for pending in &self.moves {
            balancer.add_load(&pending.to, pending.range);
        }
        balancer.update_fair_utilization();
    }

    /// Takes in what became of an order; whether a server holds keys that it did not
    /// hold before.
    pub fn complete(&mut self, order: &Order, outcome: OrderOutcome, now: Time) -> bool {
        match order {
            Order::Grant(slice) => return self.complete_grant(slice, outcome, now),
            Order::Release { range, epoch, .. } => {
                self.complete_release(*range, *epoch, outcome, now)
            }
            Order::Commit(map) => self.complete_commit(map, &outcome),
        }
        false
    }
}
