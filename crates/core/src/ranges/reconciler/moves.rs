//! Moves of keys: planning and progress.

use {
    super::{
        COPY_AGE_MAX, FreeReason, KeyEvent, Order, OrderOutcome, OwnerState, Owners, RETRY_DELAY,
        Reconciler, commits::expiry_delay,
    },
    crate::{
        id::{Epoch, ServerName},
        ranges::{Balancer, KeyRange, Reassignment, Slice, key::subtract},
        time::{StoreClock, Time},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// How long grants to a server fail before the server is suspected to be lost. A lost
/// server stays listed for about as long after its last heartbeat, so that earlier
/// suspicion gains nothing.
const SUSPECT_AFTER: Duration = Duration::from_millis(2_500);
/// Slices per server above which no slice is split for rebalancing. Each slice costs the
/// planner one renewal every 2.5 s, which is most of what a small processor can do.
const SLICES_PER_SERVER: usize = 3;
/// The same limit while servers are overloaded. A map with this many slices still fits
/// into a row of the store.
const SURGE_SLICES_PER_SERVER: usize = 4;
/// Lower bound of the limits on slices of a service.
const MIN_SLICE_LIMIT: usize = 240;
/// Slices per server above which small slices are merged with a neighbour.
const MERGE_SLICES_PER_SERVER: f64 = 1.5;
/// Maximum number of moves that one plan starts for keys without a serving owner. Each of
/// them scans all servers for the one with the most spare capacity.
const MAX_REASSIGNMENTS: usize = 200;

/// Progress of a move.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MovePhase {
    /// The release is in progress, or is sent at `send_at`.
    Releasing { send_at: Option<Time> },
    /// The keys have been released, with the state handed over, and wait for the commit.
    Free {
        since: Time,
        handover: Option<String>,
    },
}

/// Move of keys from one server to another.
#[derive(Debug, Clone)]
pub struct Move {
    /// The keys.
    pub range: KeyRange,
    /// The old owner; `None` if the keys never had one.
    pub from: Option<ServerName>,
    /// The new owner.
    pub to: ServerName,
    /// Epoch of the new owner.
    pub epoch: Epoch,
    /// Time of the last grant to the old owner.
    pub last_granted: Time,
    /// When the move was planned.
    pub started: Time,
    /// Progress of the move.
    pub phase: MovePhase,
}

impl Move {
    /// Whether the keys wait for the commit of their new owner.
    pub fn is_free(&self) -> bool {
        matches!(self.phase, MovePhase::Free { .. })
    }

    /// The event that the keys of the old owner are free; `None` if they never had one.
    fn freed(&self, reason: FreeReason) -> Option<KeyEvent> {
        Some(KeyEvent::Freed {
            range: self.range,
            from: self.from.clone()?,
            epoch: self.epoch,
            reason,
        })
    }
}

impl Reconciler {
    /// Frees keys that never had an owner or whose lease has run out. That the owner's process
    /// has ended frees nothing: the next process at its address may have accepted a renewal.
    /// The map tells the end of the lease some time before: the owner would accept a renewal under
    /// its former epoch if the store came back from a copy that shows neither.
    pub(super) fn free_expired(&mut self, now: Time, clock: &StoreClock, owners: &impl Owners) {
        for pending in &mut self.moves {
            let MovePhase::Releasing { .. } = pending.phase else {
                continue;
            };
            if let Some(from) = &pending.from {
                let is_told = now - pending.started >= expiry_delay(from, owners) + COPY_AGE_MAX;
                let slice = self.map.slice(pending.range.first);
                let has_expired = slice
                    .expiry
                    .is_some_and(|expiry| clock.is_past(expiry, now));
                let reason = if has_expired {
                    FreeReason::ExpiryPassed
                } else if is_told && now >= self.leases.lease_end(pending.last_granted) {
                    FreeReason::LeaseExpired
                } else {
                    continue;
                };
                self.events.extend(pending.freed(reason));
            }
            pending.phase = MovePhase::Free {
                since: now,
                handover: None,
            };
        }
    }

    /// Picks another recipient for moves whose recipient no longer serves. Not during a commit,
    /// after which the recipient owns the keys and has to release them.
    pub(super) fn retarget(&mut self, owners: &impl Owners, balancer: &mut Balancer<'_>) {
        if self.open_commit.is_some() {
            return;
        }
        for pending in &mut self.moves {
            if owners.state(&pending.to) == OwnerState::Serving {
                continue;
            }
            let assigned = balancer.distribute(pending.range);
            if let Some((_, to)) = assigned.into_iter().next() {
                pending.to = to;
            }
        }
    }

    /// Starts moves of keys whose owner is leaving, lost or not answering, and of keys
    /// without an owner if `may_assign` is set.
    pub(super) fn reassign_unserved(
        &mut self,
        now: Time,
        clock: &StoreClock,
        owners: &impl Owners,
        balancer: &mut Balancer<'_>,
        may_assign: bool,
    ) {
        let may_be_held = |slice: &Slice| {
            let expiry = slice.expiry;
            expiry.is_some_and(|expiry| !clock.is_past(expiry, now))
        };
        let suspects = self.suspects(now);
        let moving = self.moving_ranges();
        let slices = self.map.slices().iter();
        let mut unserved: Vec<(KeyRange, Option<ServerName>)> = slices
            .filter(|slice| match &slice.owner {
                None => may_assign && !may_be_held(slice),
                Some(owner) => {
                    let is_serving = owners.state(owner) == OwnerState::Serving;
                    !is_serving || slice.expiry.is_some() || suspects.contains(owner)
                }
            })
            .flat_map(|slice| {
                let parts = not_moving(slice.range, &moving);
                parts.into_iter().map(|range| (range, slice.owner.clone()))
            })
            .collect();
        // Busiest keys first: moves beyond the limit wait for the next plan.
        unserved.sort_by(|a, b| balancer.demand(b.0).total_cmp(&balancer.demand(a.0)));
        let before = self.moves.len();
        for (range, from) in unserved {
            if self.moves.len() - before >= MAX_REASSIGNMENTS {
                return;
            }
            let parts = match from {
                None => balancer.assign_stripes(range),
                Some(_) => balancer.distribute(range),
            };
            for (part, to) in parts {
                if from.as_ref() != Some(&to) {
                    self.start_move(part, from.clone(), to, now);
                }
            }
        }
    }

    /// Servers whose grants have failed for too long. None if they outnumber a third of
    /// the others: then the planner itself is probably cut off, and moves would not help.
    fn suspects(&self, now: Time) -> BTreeSet<ServerName> {
        let owner = |range: KeyRange| self.map.slice(range.first).owner.clone();
        let failing = self.renewals.failing_for(SUSPECT_AFTER, now);
        let suspects: BTreeSet<ServerName> = failing.filter_map(owner).collect();
        if suspects.is_empty() {
            return suspects;
        }
        let slices = self.map.slices().iter();
        let owners = slices.filter_map(|slice| slice.owner.as_ref());
        let responsive: BTreeSet<&ServerName> = owners.filter(|o| !suspects.contains(*o)).collect();
        if suspects.len() * 3 > responsive.len() {
            return BTreeSet::new();
        }
        suspects
    }

    /// Ranges of all moves, in key order.
    pub(super) fn moving_ranges(&self) -> Vec<KeyRange> {
        let mut moving: Vec<KeyRange> = self.moves.iter().map(|pending| pending.range).collect();
        moving.sort();
        moving
    }

    /// Sends releases again whose epoch the map has reached, as slices were merged or raised: an
    /// owner that has released keys must reject a grant under any epoch of the map.
    pub(super) fn raise_releases(&mut self) {
        for pending in &mut self.moves {
            let reached = self.map.max_epoch(pending.range);
            if pending.from.is_some() && pending.epoch <= reached {
                pending.epoch = Epoch(reached.0 + 1);
                let send_at = Some(Time::ZERO);
                pending.phase = MovePhase::Releasing { send_at };
            }
        }
    }

    /// Starts moves that even out load, and merges of small slices if there are many.
    pub(super) fn rebalance(&mut self, now: Time, balancer: &mut Balancer<'_>) {
        let moving = self.moving_ranges();
        let mut owned: BTreeMap<&ServerName, Vec<KeyRange>> = BTreeMap::new();
        for slice in self.map.slices() {
            if let Some(owner) = &slice.owner {
                owned.entry(owner).or_default().push(slice.range);
            }
        }
        let movable = |server: &ServerName| {
            let ranges = owned.get(server).into_iter().flatten();
            ranges
                .flat_map(|range| not_moving(*range, &moving))
                .collect()
        };
        let slices = self.map.slices().len();
        let max_per_server = match balancer.has_overload() {
            true => SURGE_SLICES_PER_SERVER,
            false => SLICES_PER_SERVER,
        };
        let may_split = slices < MIN_SLICE_LIMIT.max(balancer.server_count() * max_per_server);
        let mut reassignments = balancer.reassignments(self.moves.len(), may_split, movable);
        if slices as f64
            > (balancer.server_count() as f64 * MERGE_SLICES_PER_SERVER).max(MIN_SLICE_LIMIT as f64)
        {
            let open_moves = self.moves.len() + reassignments.len();
            reassignments.extend(balancer.merges(open_moves, &self.movable_slices(&reassignments)));
        }
        for reassignment in reassignments {
            self.start_move(reassignment.range, reassignment.from, reassignment.to, now);
        }
    }

    /// Slices, in key order, that are neither moving nor about to move.
    fn movable_slices(&self, reassignments: &[Reassignment]) -> Vec<(KeyRange, ServerName)> {
        let mut moving = self.moving_ranges();
        moving.extend(reassignments.iter().map(|reassignment| reassignment.range));
        moving.sort();
        let slices = self.map.slices().iter();
        let held = slices.filter(|slice| {
            slice.expiry.is_none() && not_moving(slice.range, &moving) == [slice.range]
        });
        let owned = held.filter_map(|slice| Some((slice.range, slice.owner.clone()?)));
        owned.collect()
    }

    /// Starts a move; keys that never had an owner need no release.
    fn start_move(&mut self, range: KeyRange, from: Option<ServerName>, to: ServerName, now: Time) {
        let phase = match from {
            Some(_) => MovePhase::Releasing { send_at: Some(now) },
            None => MovePhase::Free {
                since: now,
                handover: None,
            },
        };
        let epoch = Epoch(self.map.max_epoch(range).max(self.floor).0 + 1);
        let last_granted = from
            .as_ref()
            .map_or(Time::ZERO, |from| self.leases.last_sent(from));
        self.renewals.invalidate();
        self.moves.push(Move {
            range,
            from,
            to,
            epoch,
            last_granted,
            started: now,
            phase,
        });
    }

    /// Orders the releases that are due. Those of keys whose grant has no outcome wait: the
    /// owner would reject the grant if it came second, and the keys would get a new epoch.
    pub(super) fn send_releases(&mut self, now: Time, orders: &mut Vec<Order>) {
        let max_transit = self.leases.times().max_transit();
        self.window.remove_older(max_transit, now);
        for pending in &mut self.moves {
            let (Some(server), MovePhase::Releasing { send_at }) =
                (&pending.from, &mut pending.phase)
            else {
                continue;
            };
            if send_at.is_some_and(|time| time <= now) && !self.window.overlaps(pending.range) {
                *send_at = None;
                orders.push(Order::Release {
                    server: server.clone(),
                    range: pending.range,
                    epoch: pending.epoch,
                });
            }
        }
    }

    /// Sends the releases in progress again.
    pub(super) fn restart_releases(&mut self, now: Time) {
        for pending in &mut self.moves {
            if let MovePhase::Releasing { send_at } = &mut pending.phase {
                *send_at = Some(now);
            }
        }
    }

    /// Applies the outcome of a release; a failed one is sent again after [`RETRY_DELAY`].
    pub(super) fn complete_release(
        &mut self,
        server: &ServerName,
        range: KeyRange,
        epoch: Epoch,
        outcome: OrderOutcome,
        now: Time,
    ) {
        let mut moves = self.moves.iter_mut();
        let found = moves.find(|pending| {
            let is_from = pending.from.as_ref() == Some(server);
            is_from && pending.range == range && pending.epoch == epoch && !pending.is_free()
        });
        let Some(pending) = found else { return };
        match outcome {
            OrderOutcome::Done { handover } => {
                self.events.extend(pending.freed(FreeReason::Released));
                pending.phase = MovePhase::Free {
                    since: now,
                    handover,
                };
            }
            OrderOutcome::Outdated | OrderOutcome::Unknown | OrderOutcome::NotSent => {
                let send_at = Some(now + RETRY_DELAY);
                pending.phase = MovePhase::Releasing { send_at };
            }
        }
    }
}

/// The parts of `range` that are not moving; `moving` are disjoint ranges in key order.
pub fn not_moving(range: KeyRange, moving: &[KeyRange]) -> Vec<KeyRange> {
    let first = moving.partition_point(|moving| moving.last < range.first);
    let within = moving[first..].iter();
    let within = within.take_while(|moving| moving.first <= range.last);
    within.fold(vec![range], |parts, moving| subtract(parts, *moving))
}
