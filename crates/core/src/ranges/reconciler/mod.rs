//! State machine that moves the keys of one service by grants, releases and commits.

mod commits;
mod event;
mod fencing;
mod moves;
mod order;
mod probes;
mod renewals;
mod send_window;
mod waits;

use {
    super::{
        Balancer, Fence, GrantRecord, KeyRange, LeaseTracker, MoveNotice, OwnerHint, RangeMap,
    },
    crate::{
        id::{Epoch, ServerName},
        time::{StoreClock, Time},
    },
    moves::Move,
    renewals::Renewals,
    send_window::SendWindow,
    std::{collections::BTreeSet, time::Duration},
};

pub(super) use moves::not_moving;

pub use event::{FreeReason, KeyEvent};
pub use order::{Order, OrderOutcome, OwnerState, Owners, PlanScope};
pub use probes::Probes;
pub use waits::{KeyWait, WaitReason};

/// Delay before a failed order is sent again.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Age of the oldest copy from which the store comes back.
const COPY_AGE_MAX: Duration = Duration::from_secs(4);

/// Limits under which a planner continues in a new era of the store.
#[derive(Debug, Clone, Copy)]
pub struct EraStart {
    /// Lowest epoch of the era.
    pub floor: Epoch,
    /// Time until which this planner may renew what it granted in the former era: as long as
    /// without the store, counted from the last confirmation of its leadership in that era.
    pub former_until: Time,
    /// Time until which other planners may grant.
    pub others_until: Time,
}

/// Reconciler for one service's keys, run by the planner.
///
/// A move is a release by the old owner, a commit of the new owner, and a grant to it. A
/// planner failure at any point is safe: before the commit the old owner rejects renewals
/// under its old epoch and gets a higher epoch from the next planner; after the commit
/// the new owner gets the grant from the next planner. If a release is not answered, the
/// keys wait until the old owner's last lease ends, even if its process has certainly ended:
/// the next process at its address may hold them by a renewal that was sent before the
/// planner knew of it.
#[derive(Debug)]
pub struct Reconciler {
    map: RangeMap,
    leases: LeaseTracker,
    moves: Vec<Move>,
    renewals: Renewals,
    /// Grants in progress. They outlast a reload of the map.
    window: SendWindow,
    /// Keys released for a move and not yet granted to their next owner.
    awaiting_grant: BTreeSet<KeyRange>,
    /// Epochs that owners have seen and that are above the epoch of their slice.
    seen_epochs: Vec<(KeyRange, Epoch)>,
    /// When the commit in progress was ordered, and what it writes.
    open_commit: Option<(Time, RangeMap)>,
    /// Lowest epoch of the era of the store. The map is written anew until it has reached it.
    floor: Epoch,
    /// Time until which leases of earlier eras are renewed.
    former_until: Time,
    /// Present until servers are known to hold no keys but those of the map.
    fence: Option<Fence>,
    /// Changes of possession that have not been taken yet.
    events: Vec<KeyEvent>,
}

impl Reconciler {
    /// Starts from the map in the store.
    pub fn new(map: RangeMap, leases: LeaseTracker) -> Self {
        Self {
            map,
            leases,
            moves: Vec::new(),
            renewals: Renewals::default(),
            window: SendWindow::default(),
            awaiting_grant: BTreeSet::new(),
            seen_epochs: Vec::new(),
            open_commit: None,
            floor: Epoch(0),
            former_until: Time::ZERO,
            fence: None,
            events: Vec::new(),
        }
    }

    /// Sets the lowest epoch of the era of the store in which the term began.
    pub fn with_floor(self, floor: Epoch) -> Self {
        Self { floor, ..self }
    }

    /// Continues with the map known here in a new era of the store, which came back from an
    /// older copy. Orders in progress are sent anew: their outcomes are not reported any more.
    ///
    /// The copy may lack the claim of another planner, and the moves that it made. Keys are
    /// therefore released at all servers that do not own them by this map before anything is
    /// granted or moved. Only leases granted before are renewed meanwhile, and for no longer
    /// than other planners expect this one to act.
    pub fn resume(&mut self, era: EraStart, now: Time) {
        let former_until = match self.is_settled() {
            true => era.former_until,
            false => era.former_until.min(self.former_until),
        };
        self.former_until = former_until;
        self.floor = era.floor;
        self.leases.extend_previous(era.others_until);
        let had_record = self.fence.as_ref().map(Fence::record) != Some(GrantRecord::Lost);
        let record = match had_record && era.others_until <= now {
            true => GrantRecord::Complete,
            false => GrantRecord::Lost,
        };
        self.fence = Some(Fence::new(self.floor, record));
        self.open_commit = None;
        self.renewals = Renewals::default();
        self.window = SendWindow::default();
        self.restart_releases(now);
    }

    /// Whether servers hold no keys but those of the map, all of them under epochs of this era.
    fn is_settled(&self) -> bool {
        self.fence.is_none() && self.map.has_reached(self.floor)
    }

    /// Restores a release ordered by an earlier planner whose move may be incomplete: the
    /// owner has seen the epoch of the release and rejects grants below it.
    pub fn restore_release(&mut self, notice: &MoveNotice) {
        let newer = notice.epoch > self.map.max_epoch(notice.range);
        if newer && notice.hint == OwnerHint::Released {
            self.seen_epochs.push((notice.range, notice.epoch));
            self.awaiting_grant.insert(notice.range);
        }
    }

    /// Number of moves in progress.
    pub fn move_count(&self) -> usize {
        self.moves.len()
    }

    /// Whether the outcome of a commit is not known yet.
    pub fn is_commit_open(&self) -> bool {
        self.open_commit.is_some()
    }

    /// Restarts from the map in the store. The record of sent grants is kept.
    pub fn reload(&mut self, map: RangeMap) {
        self.map = map;
        self.restart_fence();
        self.moves.clear();
        self.renewals = Renewals::default();
        self.awaiting_grant.clear();
        self.seen_epochs.clear();
        self.open_commit = None;
    }

    /// Takes the changes of possession since the last call.
    pub fn take_events(&mut self) -> Vec<KeyEvent> {
        std::mem::take(&mut self.events)
    }

    /// Whether keys are released everywhere before any is granted or moved.
    pub fn has_fence(&self) -> bool {
        self.fence.is_some()
    }

    /// The map as last committed.
    pub fn map(&self) -> &RangeMap {
        &self.map
    }

    /// The record of sent grants.
    pub fn leases_mut(&mut self) -> &mut LeaseTracker {
        &mut self.leases
    }

    /// Plans moves and returns the orders that are due.
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

    /// Decides which keys to move. Scans every slice.
    pub fn plan(
        &mut self,
        now: Time,
        clock: &StoreClock,
        owners: &impl Owners,
        balancer: &mut Balancer<'_>,
        scope: PlanScope,
    ) {
        if self.is_fencing(now) {
            return;
        }
        self.compute_loads(balancer);
        self.free_expired(now, clock, owners);
        self.retarget(owners, balancer);
        self.reassign_unserved(now, clock, owners, balancer, scope.may_assign);
        if scope.may_rebalance && !self.is_commit_overdue(now) {
            self.rebalance(now, balancer);
        }
    }

    /// Returns the orders that are due. Scans only the moves and the orders due, not
    /// every slice.
    pub fn orders(&mut self, now: Time, clock: &StoreClock, owners: &impl Owners) -> Vec<Order> {
        if self.is_fencing(now) {
            return self.fence_orders(now, clock, owners);
        }
        let mut orders = Vec::new();
        self.free_expired(now, clock, owners);
        // Keys released during a store outage would have no owner until it ends.
        if !self.is_commit_overdue(now) {
            self.send_releases(now, &mut orders);
        }
        self.commit_free_keys(now, clock, owners, &mut orders);
        self.send_renewals(now, owners, &mut orders);
        orders
    }

    /// Servers that own keys, or will after the moves in progress.
    pub fn key_servers(&self) -> BTreeSet<&ServerName> {
        let slices = self.map.slices().iter();
        let owners = slices.filter_map(|slice| slice.owner.as_ref());
        let recipients = self.moves.iter().map(|pending| &pending.to);
        owners.chain(recipients).collect()
    }

    /// Adds the load of all keys to the servers that own them, or will after the moves in
    /// progress.
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

    /// Applies the outcome of an order. Returns whether a server now holds keys that were
    /// released for a move.
    pub fn complete(&mut self, order: &Order, outcome: OrderOutcome, now: Time) -> bool {
        match order {
            Order::Grant { slice, ordered_at } => {
                return self.complete_grant(slice, *ordered_at, outcome, now);
            }
            Order::Release {
                server,
                range,
                epoch,
            } => match &mut self.fence {
                Some(fence) => fence.complete(server, *range, *epoch, &outcome, now),
                None => self.complete_release(server, *range, *epoch, outcome, now),
            },
            Order::Probe { .. } => {}
            Order::Commit(map) => self.complete_commit(map, &outcome),
        }
        false
    }
}
