//! Drives grants, releases and moves of one service's keys.

use {
    super::{Balance, KeyRange, LeaseBook, RangeMap, Slice, balance::cut_out},
    crate::{
        id::{Epoch, ServerName},
        time::{StoreClock, StoreTime, Time},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// First pause before an order is sent again.
const AGAIN: Duration = Duration::from_millis(250);
/// Grants that stay unanswered for so long make their server suspect. A server
/// that was lost is listed for about as long after its last heartbeat, so that
/// an earlier guess gains nothing.
const SUSPECT: Duration = Duration::from_millis(2_500);

/// How long a release to a lost server may be unanswered before the end of its
/// lease is written to the map: servers that only leave answer by then, and each
/// write is read by every instance.
const UNANSWERED: Duration = Duration::from_millis(1_000);

/// How long keys that are free wait for others of the same round: each commit
/// is read by every instance, and most releases of a round end close together.
const GATHER: Duration = Duration::from_millis(100);

/// Grants sent at one tick at most. A planner that takes over, or that starts
/// with the rest of its domain, has hundreds due at once: sent together they
/// keep a tenth of a core busy for seconds, its heartbeats stay out, and the
/// next planner takes over and does the same.
const GRANTS: usize = 40;
/// Slices of a service for each of its servers from which none is cut for the
/// sake of balance: each costs the planner an order every other second, and with
/// six for each of 167 servers a tenth of a core did nothing else.
const SLICES: usize = 3;
/// Slices of a service up to which they may be cut in any case.
const SLICES_MIN: usize = 240;
/// Moves under way at which no more are begun for servers that leave: a few
/// servers' worth, since each is an order that an instance with a fifth of a
/// core has to send.
const VACATE_MAX: usize = 200;

/// What may be begun at a tick.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Scope {
    /// Whether keys that never had an owner are dealt out: not before the
    /// servers have all shown up, or the first one would get everything.
    pub deal: bool,
    /// Whether keys may move for balance.
    pub even: bool,
}

/// What is known of the owner of keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerState {
    /// It is listed as ready.
    Serving,
    /// It is listed as leaving, or listed no more; it may still run requests.
    Leaving,
    /// This start of it has surely ended: a later one is known, by the moments
    /// that both tell, under its id or at its address.
    Ended,
}

/// What the planner knows of servers.
pub trait Owners {
    /// The state of a server; one that was never listed is leaving.
    fn state(&self, server: &ServerName) -> OwnerState;
}

/// Something to be done outside; each is answered with [`Reconciler::ended`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Let a server hold keys for the span of a lease.
    Grant(Slice),
    /// Make a server give keys up, under an epoch above that of its grant.
    Release {
        /// The server.
        server: ServerName,
        /// The keys.
        range: KeyRange,
        /// The epoch under which the next owner will have them.
        epoch: Epoch,
    },
    /// Write the map to the store, unless somebody else has changed it.
    Commit(RangeMap),
}

/// What became of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderEnd {
    /// It took effect; a release may hand over what the server has in memory.
    Done {
        /// For the next owner.
        handover: Option<String>,
    },
    /// A grant was refused because the server has seen a higher epoch.
    Outdated,
    /// It is not known whether it took effect, or ever will.
    Unknown,
    /// It has surely not left.
    NotSent,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Phase {
    /// The release is under way, or is sent next at the given time.
    Releasing { next: Option<Time> },
    /// The keys are free, with what was handed over.
    Free {
        since: Time,
        handover: Option<String>,
    },
}

/// Keys on their way from one server to another.
#[derive(Debug, Clone)]
struct Move {
    range: KeyRange,
    from: Option<ServerName>,
    to: ServerName,
    epoch: Epoch,
    /// When the old owner was last sent a grant that covers the keys.
    granted: Time,
    begun: Time,
    phase: Phase,
}

/// How far the grant of a slice has got.
#[derive(Debug, Clone, Copy)]
struct Renewal {
    epoch: Epoch,
    /// Since when an order is under way.
    open: Option<Time>,
    /// When the next one is due.
    next: Time,
    /// Since when all of them have failed.
    failing: Option<Time>,
    /// Whether the server has taken this grant once.
    held: bool,
}

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
    renewals: BTreeMap<KeyRange, Renewal>,
    /// Slices whose server has seen a higher epoch than theirs.
    outdated: Vec<KeyRange>,
    commit: Option<RangeMap>,
}

impl Reconciler {
    /// Takes over the map as it lies in the store.
    pub fn new(map: RangeMap, book: LeaseBook) -> Self {
        Self {
            map,
            book,
            moves: Vec::new(),
            renewals: BTreeMap::new(),
            outdated: Vec::new(),
            commit: None,
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
        self.renewals.clear();
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

    /// What is to be done now.
    pub fn tick(
        &mut self,
        now: Time,
        clock: &StoreClock,
        owners: &impl Owners,
        balance: &mut Balance<'_>,
        scope: Scope,
    ) -> Vec<Order> {
        let mut orders = Vec::new();
        self.weigh(balance);
        self.free_ended(now, clock, owners);
        self.retarget(owners, balance);
        self.vacate(now, owners, balance, scope.deal);
        if scope.even {
            self.even_out(now, balance);
        }
        self.release(now, &mut orders);
        self.commit_free(now, clock, owners, &mut orders);
        self.renew(now, &mut orders);
        orders
    }

    fn weigh(&self, balance: &mut Balance<'_>) {
        for slice in self.map.slices() {
            if let Some(owner) = &slice.owner {
                for part in self.unmoved(slice.range) {
                    balance.load(owner, part);
                }
            }
        }
        for under in &self.moves {
            balance.load(&under.to, under.range);
        }
        balance.level();
    }

    /// Frees keys whose owner's start has ended, or whose lease has run out.
    fn free_ended(&mut self, now: Time, clock: &StoreClock, owners: &impl Owners) {
        for under in &mut self.moves {
            let Phase::Releasing { .. } = under.phase else {
                continue;
            };
            let over = match &under.from {
                None => true,
                Some(from) => {
                    let ended = owners.state(from) == OwnerState::Ended;
                    let slice = self.map.slice(under.range.first);
                    let expired = slice.expiry.is_some_and(|end| clock.is_past(end, now));
                    ended || expired || now >= self.book.ends(under.granted)
                }
            };
            if over {
                under.phase = Phase::Free {
                    since: now,
                    handover: None,
                };
            }
        }
    }

    /// Finds another taker for keys whose taker has gone meanwhile.
    fn retarget(&mut self, owners: &impl Owners, balance: &mut Balance<'_>) {
        for under in &mut self.moves {
            if owners.state(&under.to) == OwnerState::Serving {
                continue;
            }
            let shared = balance.share_out(under.range);
            if let Some((_, to)) = shared.into_iter().next() {
                under.to = to;
            }
        }
    }

    /// Moves keys away from servers that leave, are lost, or do not answer.
    fn vacate(&mut self, now: Time, owners: &impl Owners, balance: &mut Balance<'_>, deal: bool) {
        let suspects = self.suspects(now);
        let slices = self.map.slices().iter();
        let mut homeless: Vec<(KeyRange, Option<ServerName>)> = slices
            .filter(|slice| match &slice.owner {
                None => deal,
                Some(owner) => {
                    let serves = owners.state(owner) == OwnerState::Serving;
                    !serves || slice.expiry.is_some() || suspects.contains(owner)
                }
            })
            .flat_map(|slice| {
                let parts = self.unmoved(slice.range);
                parts.into_iter().map(|range| (range, slice.owner.clone()))
            })
            .collect();
        // The busiest first: orders beyond these wait for the next tick.
        homeless.sort_by(|a, b| balance.demand(b.0).total_cmp(&balance.demand(a.0)));
        for (range, from) in homeless {
            if self.moves.len() >= VACATE_MAX {
                return;
            }
            let parts = match from {
                None => balance.deal(range),
                Some(_) => balance.share_out(range),
            };
            for (part, to) in parts {
                if from.as_ref() != Some(&to) {
                    self.begin(part, from.clone(), to, now);
                }
            }
        }
    }

    /// Servers whose grants have long been unanswered. If those are most of
    /// them, the planner itself is cut off, and moves would help nobody.
    fn suspects(&self, now: Time) -> Vec<ServerName> {
        let mut suspects = Vec::new();
        let mut sound = Vec::new();
        for slice in self.map.slices() {
            let (Some(owner), Some(renewal)) = (&slice.owner, self.renewals.get(&slice.range))
            else {
                continue;
            };
            match renewal.failing.is_some_and(|since| now - since > SUSPECT) {
                true => suspects.push(owner.clone()),
                false => sound.push(owner.clone()),
            }
        }
        suspects.sort();
        suspects.dedup();
        sound.sort();
        sound.dedup();
        if suspects.len() * 3 > sound.len() {
            suspects.clear();
        }
        suspects
    }

    /// The parts of a range that are not on their way yet.
    fn unmoved(&self, range: KeyRange) -> Vec<KeyRange> {
        let cut = |parts, under: &Move| cut_out(parts, under.range);
        let within = |under: &&Move| under.range.common(range).is_some();
        self.moves.iter().filter(within).fold(vec![range], cut)
    }

    fn even_out(&mut self, now: Time, balance: &mut Balance<'_>) {
        let most = balance.limits().moves.saturating_sub(self.moves.len());
        let parts = |server: &ServerName| {
            let slices = self.map.owned(server);
            slices.flat_map(|slice| self.unmoved(slice.range)).collect()
        };
        let slices = self.map.slices().len();
        let cut = slices < SLICES_MIN.max(balance.servers() * SLICES);
        for shift in balance.shifts(most, cut, parts) {
            self.begin(shift.range, shift.from, shift.to, now);
        }
    }

    fn begin(&mut self, range: KeyRange, from: Option<ServerName>, to: ServerName, now: Time) {
        let phase = match from {
            Some(_) => Phase::Releasing { next: Some(now) },
            None => Phase::Free {
                since: now,
                handover: None,
            },
        };
        let epoch = Epoch(self.map.epoch(range).0 + 1);
        let granted = from
            .as_ref()
            .map_or(Time::ZERO, |from| self.book.last(from));
        self.moves.push(Move {
            range,
            from,
            to,
            epoch,
            granted,
            begun: now,
            phase,
        });
    }

    fn release(&mut self, now: Time, orders: &mut Vec<Order>) {
        for under in &mut self.moves {
            let (Some(server), Phase::Releasing { next }) = (&under.from, &mut under.phase) else {
                continue;
            };
            if next.is_some_and(|next| next <= now) {
                *next = None;
                orders.push(Order::Release {
                    server: server.clone(),
                    range: under.range,
                    epoch: under.epoch,
                });
            }
        }
    }

    fn commit_free(
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

    fn renew(&mut self, now: Time, orders: &mut Vec<Order>) {
        let due = self.held_parts();
        let listed = |range: &KeyRange, renewal: &Renewal| {
            let part = due.binary_search_by_key(range, |part| part.range);
            part.is_ok_and(|at| due[at].epoch == renewal.epoch)
        };
        self.renewals
            .retain(|range, renewal| listed(range, renewal));
        for part in &due {
            self.renewals.entry(part.range).or_insert(Renewal {
                epoch: part.epoch,
                open: None,
                next: now,
                failing: None,
                held: false,
            });
        }
        let renewals = &self.renewals;
        let is_due = |part: &Slice| {
            let renewal = &renewals[&part.range];
            renewal.open.is_none() && renewal.next <= now
        };
        let mut due: Vec<Slice> = due.into_iter().filter(is_due).collect();
        // What its server does not hold yet comes first: its callers wait.
        due.sort_by_key(|part| (renewals[&part.range].held, renewals[&part.range].next));
        due.truncate(GRANTS);
        for part in due {
            let Some(owner) = &part.owner else { continue };
            if let Some(renewal) = self.renewals.get_mut(&part.range) {
                renewal.open = Some(now);
            }
            self.book.sent(owner, now);
            orders.push(Order::Grant(part));
        }
    }

    /// What owners are to keep: slices, less the keys that are on their way.
    fn held_parts(&self) -> Vec<Slice> {
        let held = |slice: &&Slice| slice.owner.is_some() && slice.expiry.is_none();
        let owned = self.map.slices().iter().filter(held);
        let parts = owned.flat_map(|slice| {
            let part = |range| Slice {
                range,
                ..slice.clone()
            };
            self.unmoved(slice.range).into_iter().map(part)
        });
        parts.collect()
    }

    /// Takes in what became of an order.
    pub fn ended(&mut self, order: &Order, end: OrderEnd, now: Time) {
        match order {
            Order::Grant(slice) => self.granted(slice, end, now),
            Order::Release { range, epoch, .. } => self.released(*range, *epoch, end, now),
            Order::Commit(map) => self.committed(map, &end),
        }
    }

    fn granted(&mut self, slice: &Slice, end: OrderEnd, now: Time) {
        let Some(renewal) = self.renewals.get_mut(&slice.range) else {
            return;
        };
        if renewal.epoch != slice.epoch {
            return;
        }
        let begun = renewal.open.take();
        if let (OrderEnd::NotSent, Some(begun), Some(owner)) = (&end, begun, &slice.owner) {
            self.book.not_sent(owner, begun);
        }
        match end {
            OrderEnd::Done { .. } => {
                renewal.next = now + self.book.times().renew;
                renewal.failing = None;
                renewal.held = true;
            }
            OrderEnd::Outdated => {
                renewal.next = now + AGAIN;
                self.outdated.push(slice.range);
            }
            OrderEnd::Unknown | OrderEnd::NotSent => {
                renewal.next = now + AGAIN;
                renewal.failing.get_or_insert(now);
            }
        }
    }

    fn released(&mut self, range: KeyRange, epoch: Epoch, end: OrderEnd, now: Time) {
        let found = self
            .moves
            .iter_mut()
            .find(|under| under.range == range && under.epoch == epoch);
        let Some(under) = found else { return };
        if let Phase::Releasing { next } = &mut under.phase {
            match end {
                OrderEnd::Done { handover } => {
                    let since = now;
                    under.phase = Phase::Free { since, handover };
                }
                OrderEnd::Outdated | OrderEnd::Unknown | OrderEnd::NotSent => {
                    *next = Some(now + AGAIN);
                }
            }
        }
    }

    fn committed(&mut self, map: &RangeMap, end: &OrderEnd) {
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
