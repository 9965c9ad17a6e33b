//! Moves: which are begun, and how far they have got.

use {
    super::{AGAIN, Order, OrderEnd, OwnerState, Owners, Reconciler},
    crate::{
        id::{Epoch, ServerName},
        ranges::{Balance, KeyRange, Shift, key::cut_out},
        time::{StoreClock, Time},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Grants that stay unanswered for so long make their server suspect. A server
/// that was lost is listed for about as long after its last heartbeat, so that
/// an earlier guess gains nothing.
const SUSPECT: Duration = Duration::from_millis(2_500);
/// Slices of a service for each of its servers from which none is cut for the
/// sake of balance: each costs the planner an order every other second, which is most
/// of what a small processor can do.
const SLICES: usize = 3;
/// The same where servers are overloaded: a map with so many slices still fits into
/// a row of the store.
const SURGE_SLICES: usize = 4;
/// Slices of a service up to which they may be cut in any case.
const SLICES_MIN: usize = 240;
/// Slices for each server above which small ones are joined with a neighbour.
const JOIN_SLICES: f64 = 1.5;
/// Moves that one plan begins for servers that leave: each looks at all servers for the one
/// with the most room.
const VACATE_MAX: usize = 200;

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
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
pub struct Move {
    pub range: KeyRange,
    pub from: Option<ServerName>,
    pub to: ServerName,
    pub epoch: Epoch,
    /// When the old owner was last sent a grant that covers the keys.
    pub granted: Time,
    pub begun: Time,
    pub phase: Phase,
}

impl Move {
    /// Whether the keys wait for the commit of their new owner.
    pub fn is_free(&self) -> bool {
        matches!(self.phase, Phase::Free { .. })
    }
}

impl Reconciler {
    /// Frees keys whose owner's start has ended, or whose lease has run out.
    pub(super) fn free_ended(&mut self, now: Time, clock: &StoreClock, owners: &impl Owners) {
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
    pub(super) fn retarget(&mut self, owners: &impl Owners, balance: &mut Balance<'_>) {
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
    pub(super) fn vacate(
        &mut self,
        now: Time,
        owners: &impl Owners,
        balance: &mut Balance<'_>,
        deal: bool,
    ) {
        let suspects = self.suspects(now);
        let moved = self.moved();
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
                let parts = unmoved(slice.range, &moved);
                parts.into_iter().map(|range| (range, slice.owner.clone()))
            })
            .collect();
        // The busiest first: orders beyond these wait for the next tick.
        homeless.sort_by(|a, b| balance.demand(b.0).total_cmp(&balance.demand(a.0)));
        let before = self.moves.len();
        for (range, from) in homeless {
            if self.moves.len() - before >= VACATE_MAX {
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
    fn suspects(&self, now: Time) -> BTreeSet<ServerName> {
        let owner = |range: KeyRange| self.map.slice(range.first).owner.clone();
        let failing = self.renewals.failing_for(SUSPECT, now);
        let suspects: BTreeSet<ServerName> = failing.filter_map(owner).collect();
        if suspects.is_empty() {
            return suspects;
        }
        let slices = self.map.slices().iter();
        let owners = slices.filter_map(|slice| slice.owner.as_ref());
        let sound: BTreeSet<&ServerName> = owners.filter(|o| !suspects.contains(*o)).collect();
        if suspects.len() * 3 > sound.len() {
            return BTreeSet::new();
        }
        suspects
    }

    /// Keys that are on their way, in order.
    pub(super) fn moved(&self) -> Vec<KeyRange> {
        let mut moved: Vec<KeyRange> = self.moves.iter().map(|under| under.range).collect();
        moved.sort();
        moved
    }

    pub(super) fn even_out(&mut self, now: Time, balance: &mut Balance<'_>) {
        let moved = self.moved();
        let mut owned: BTreeMap<&ServerName, Vec<KeyRange>> = BTreeMap::new();
        for slice in self.map.slices() {
            if let Some(owner) = &slice.owner {
                owned.entry(owner).or_default().push(slice.range);
            }
        }
        let parts = |server: &ServerName| {
            let ranges = owned.get(server).into_iter().flatten();
            ranges.flat_map(|range| unmoved(*range, &moved)).collect()
        };
        let slices = self.map.slices().len();
        let most = match balance.has_overload() {
            true => SURGE_SLICES,
            false => SLICES,
        };
        let cut = slices < SLICES_MIN.max(balance.servers() * most);
        let mut shifts = balance.shifts(self.moves.len(), cut, parts);
        if slices as f64 > (balance.servers() as f64 * JOIN_SLICES).max(SLICES_MIN as f64) {
            let under = self.moves.len() + shifts.len();
            shifts.extend(balance.joins(under, &self.still(&shifts)));
        }
        for shift in shifts {
            self.begin(shift.range, shift.from, shift.to, now);
        }
    }

    /// Slices in order that are not on their way, and are not about to be.
    fn still(&self, shifts: &[Shift]) -> Vec<(KeyRange, ServerName)> {
        let mut moved = self.moved();
        moved.extend(shifts.iter().map(|shift| shift.range));
        moved.sort();
        let slices = self.map.slices().iter();
        let held = slices.filter(|slice| {
            slice.expiry.is_none() && unmoved(slice.range, &moved) == [slice.range]
        });
        let owned = held.filter_map(|slice| Some((slice.range, slice.owner.clone()?)));
        owned.collect()
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
        self.renewals.invalidate();
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

    pub(super) fn release(&mut self, now: Time, orders: &mut Vec<Order>) {
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

    pub(super) fn released(&mut self, range: KeyRange, epoch: Epoch, end: OrderEnd, now: Time) {
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
}

/// The parts of a range that are not on their way; `moved` are the keys that are, in order
/// and without a key in common.
pub fn unmoved(range: KeyRange, moved: &[KeyRange]) -> Vec<KeyRange> {
    let first = moved.partition_point(|moved| moved.last < range.first);
    let within = moved[first..].iter();
    let within = within.take_while(|moved| moved.first <= range.last);
    within.fold(vec![range], |parts, moved| cut_out(parts, *moved))
}
