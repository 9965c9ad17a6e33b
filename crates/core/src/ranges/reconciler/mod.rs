//! Drives grants, releases and moves of one service's keys.

mod commits;
mod moves;
mod order;
mod renewals;
mod send_window;

use {
    super::{Balance, KeyRange, LeaseBook, MoveNews, OwnerHint, RangeMap},
    crate::{
        id::Epoch,
        time::{StoreClock, Time},
    },
    moves::{Move, unmoved},
    renewals::Renewals,
    std::{collections::BTreeSet, time::Duration},
};

pub use order::{Order, OrderEnd, OwnerState, Owners, Scope};

/// First pause before an order is sent again.
const AGAIN: Duration = Duration::from_millis(250);

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
    book: LeaseBook,
    moves: Vec<Move>,
    renewals: Renewals,
    /// Keys that were released for a move and are not granted to their next owner yet.
    handed: BTreeSet<KeyRange>,
    /// Keys whose owner has seen this epoch, which is above that of their slice.
    outdated: Vec<(KeyRange, Epoch)>,
    /// When the commit under way was ordered.
    commit: Option<Time>,
}

impl Reconciler {
    /// Takes over the map as it lies in the store.
    pub fn new(map: RangeMap, book: LeaseBook) -> Self {
        Self {
            map,
            book,
            moves: Vec::new(),
            renewals: Renewals::default(),
            handed: BTreeSet::new(),
            outdated: Vec::new(),
            commit: None,
        }
    }

    /// Takes in what a former planner told of a move that it may not have finished: the
    /// owner has seen the epoch of the release and refuses any grant below it.
    pub fn note_release(&mut self, news: &MoveNews) {
        let newer = news.epoch > self.map.epoch(news.range);
        if newer && news.place == OwnerHint::Released {
            self.outdated.push((news.range, news.epoch));
            self.handed.insert(news.range);
        }
    }

    /// Moves under way.
    pub fn moves(&self) -> usize {
        self.moves.len()
    }

    /// Starts anew with the map as it lies in the store. What was sent to whom
    /// stays known.
    pub fn reload(&mut self, map: RangeMap) {
        self.map = map;
        self.moves.clear();
        self.renewals = Renewals::default();
        self.handed.clear();
        self.outdated.clear();
        self.commit = None;
    }

    /// The map as last committed.
    pub fn map(&self) -> &RangeMap {
        &self.map
    }

    /// The book of leases.
    pub fn book(&mut self) -> &mut LeaseBook {
        &mut self.book
    }

    /// What is to be done now: a plan, and the orders that follow.
    pub fn tick(
        &mut self,
        now: Time,
        clock: &StoreClock,
        owners: &impl Owners,
        balance: &mut Balance<'_>,
        scope: Scope,
    ) -> Vec<Order> {
        self.plan(now, clock, owners, balance, scope);
        self.orders(now, clock, owners)
    }

    /// Decides which keys move. Looks at every slice.
    pub fn plan(
        &mut self,
        now: Time,
        clock: &StoreClock,
        owners: &impl Owners,
        balance: &mut Balance<'_>,
        scope: Scope,
    ) {
        self.weigh(balance);
        self.free_ended(now, clock, owners);
        self.retarget(owners, balance);
        self.vacate(now, owners, balance, scope.deal);
        if scope.even && !self.is_commit_overdue(now) {
            self.even_out(now, balance);
        }
    }

    /// The orders that are due. Looks at moves and at what is due only.
    pub fn orders(&mut self, now: Time, clock: &StoreClock, owners: &impl Owners) -> Vec<Order> {
        let mut orders = Vec::new();
        self.free_ended(now, clock, owners);
        // Keys that are released during an outage of the store have no owner until its end.
        if !self.is_commit_overdue(now) {
            self.release(now, &mut orders);
        }
        self.commit_free(now, clock, owners, &mut orders);
        self.renew(now, &mut orders);
        orders
    }

    fn weigh(&self, balance: &mut Balance<'_>) {
        let moved = self.moved();
        for slice in self.map.slices() {
            if let Some(owner) = &slice.owner {
                for part in unmoved(slice.range, &moved) {
                    balance.load(owner, part);
                }
            }
        }
        for under in &self.moves {
            balance.load(&under.to, under.range);
        }
        balance.level();
    }

    /// Takes in what became of an order; whether a server holds keys that it did not
    /// hold before.
    pub fn ended(&mut self, order: &Order, end: OrderEnd, now: Time) -> bool {
        match order {
            Order::Grant(slice) => return self.granted(slice, end, now),
            Order::Release { range, epoch, .. } => self.released(*range, *epoch, end, now),
            Order::Commit(map) => self.committed(map, &end),
        }
        false
    }
}
