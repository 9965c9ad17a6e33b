//! Which keys should go from one server to another.

use {
    super::{KeyDemand, KeyRange, RangeKey, RangeMap},
    crate::id::ServerName,
    std::collections::BTreeMap,
};

/// When keys move for the sake of balance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BalanceLimits {
    /// Load over the fair share above which a busy server gives keys away.
    /// Below it the difference is mostly chance: a server with 50 requests in
    /// the window varies by a seventh.
    pub ratio: f64,
    /// The part of its slots in use from which a server counts as busy. Under
    /// it requests hardly wait for one another.
    pub busy: f64,
    /// Load over the fair share above which even a server that is not busy
    /// gives keys away, as a rise of traffic would hit it first.
    pub skew: f64,
    /// Moves planned at a time.
    pub moves: usize,
}

impl BalanceLimits {
    /// The defaults; see the fields.
    pub const STANDARD: Self = Self {
        ratio: 1.2,
        busy: 0.5,
        skew: 1.6,
        moves: 6,
    };
}

/// What a server can do.
#[derive(Debug, Clone, PartialEq)]
pub struct Capacity {
    /// The server.
    pub server: ServerName,
    /// Requests a second that it can run.
    pub rate: f64,
}

/// Keys that should go to another server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shift {
    /// The keys.
    pub range: KeyRange,
    /// Their owner so far, if any.
    pub from: Option<ServerName>,
    /// Their next owner.
    pub to: ServerName,
}

#[derive(Debug)]
struct Share {
    rate: f64,
    load: f64,
    busy: bool,
}

/// The plan of one moment: servers' loads as they will be after the moves under
/// way, and where more keys should go.
#[derive(Debug)]
pub struct Balance<'a> {
    limits: BalanceLimits,
    sums: &'a [f32],
    shares: BTreeMap<ServerName, Share>,
    fair: f64,
}

impl<'a> Balance<'a> {
    /// A plan for servers that may take keys. `sums` are requests a second up to
    /// each key, from [`KeyDemand::sums`].
    pub fn new(limits: BalanceLimits, capacities: &[Capacity], sums: &'a [f32]) -> Self {
        let share = |capacity: &Capacity| {
            let share = Share {
                rate: capacity.rate.max(f64::MIN_POSITIVE),
                load: 0.0,
                busy: false,
            };
            (capacity.server.clone(), share)
        };
        Self {
            limits,
            sums,
            shares: capacities.iter().map(share).collect(),
            fair: 0.0,
        }
    }

    /// Adds the load of keys to the server that owns them, or will.
    pub fn load(&mut self, server: &ServerName, range: KeyRange) {
        let demand = self.demand(range);
        if let Some(share) = self.shares.get_mut(server) {
            share.load += demand;
        }
        let (load, rate) = self.totals();
        self.fair = load / rate;
    }

    /// Leaves a server out of further moves: one of its own is under way.
    pub fn occupy(&mut self, server: &ServerName) {
        if let Some(share) = self.shares.get_mut(server) {
            share.busy = true;
        }
    }

    /// Shares keys that need a new owner out among all servers, in proportion
    /// to the room they have; none if there is no server.
    pub fn share_out(&mut self, range: KeyRange) -> Vec<(KeyRange, ServerName)> {
        let (load, rate) = self.totals();
        let demand = self.demand(range);
        let fair = (load + demand) / rate;
        let mut rooms = self.rooms(|share| fair * share.rate - share.load);
        rooms.retain(|(_, room)| *room > demand * LEAST_PART);
        if rooms.is_empty() {
            // Nobody asks for anything yet, or all are full alike.
            rooms = self.rooms(|share| share.rate);
        }
        let total: f64 = rooms.iter().map(|(_, room)| room).sum();
        let mut parts = Vec::new();
        let mut rest = Some(range);
        let mut given = 0.0;
        for (server, room) in &rooms {
            let Some(left) = rest else { break };
            given += room / total;
            let (part, above) = self.split(range, left, given.min(1.0));
            parts.push((part, server.clone()));
            rest = above;
        }
        // What rounding left over goes with the last part.
        if let (Some(left), Some((part, _))) = (rest, parts.last_mut()) {
            part.last = left.last;
        }
        for (part, server) in &parts {
            self.load(server, *part);
        }
        parts
    }

    /// Moves that make the loads more even, the most needed first.
    pub fn shifts(&mut self, map: &RangeMap, free: impl Fn(KeyRange) -> bool) -> Vec<Shift> {
        let mut shifts = Vec::new();
        while shifts.len() < self.limits.moves {
            let Some(shift) = self.next_shift(map, &free) else {
                break;
            };
            shifts.push(shift);
        }
        shifts
    }

    fn next_shift(&mut self, map: &RangeMap, free: &impl Fn(KeyRange) -> bool) -> Option<Shift> {
        let (from, donor) = self.most_loaded()?;
        let (to, taker) = self.least_loaded()?;
        let excess = donor.load - self.fair * donor.rate;
        let room = self.fair * taker.rate - taker.load;
        let amount = excess.min(room);
        if !self.pays(donor) || amount <= 0.0 || from == to {
            return None;
        }
        let (from, to) = (from.clone(), to.clone());
        let slices = map.owned(&from).map(|slice| slice.range);
        let parts = slices.filter(|range| free(*range));
        let best = parts.filter_map(|range| self.densest(range, amount));
        let (range, moved) = best
            .max_by(|a, b| (a.1 / f64::from(a.0.len())).total_cmp(&(b.1 / f64::from(b.0.len()))))?;
        for (server, change) in [(&from, -moved), (&to, moved)] {
            if let Some(share) = self.shares.get_mut(server) {
                share.load += change;
                share.busy = true;
            }
        }
        let from = Some(from);
        Some(Shift { range, from, to })
    }

    fn pays(&self, donor: &Share) -> bool {
        let relative = donor.load / (self.fair * donor.rate);
        let used = donor.load / donor.rate;
        let busy = relative > self.limits.ratio && used > self.limits.busy;
        busy || relative > self.limits.skew
    }

    /// The shortest run of keys with about `amount` of demand: what moves is
    /// paid by the key, and cold keys gain nothing.
    fn densest(&self, range: KeyRange, amount: f64) -> Option<(KeyRange, f64)> {
        let sum = |key: usize| f64::from(self.sums[key]);
        let end = usize::from(range.last.0) + 1;
        let mut best: Option<(KeyRange, f64)> = None;
        let mut last = usize::from(range.first.0);
        for first in usize::from(range.first.0)..end {
            last = last.max(first + 1);
            while last < end && sum(last) - sum(first) < amount * PART_MIN {
                last += 1;
            }
            let moved = sum(last) - sum(first);
            if moved < amount * PART_MIN {
                break;
            }
            if moved > amount * PART_MAX {
                continue;
            }
            let keys = last - first;
            if best.is_none_or(|(range, _)| keys < range.len() as usize) {
                let first = RangeKey(first as u16);
                let last = RangeKey((last - 1) as u16);
                best = Some((KeyRange { first, last }, moved));
            }
        }
        best
    }

    /// Cuts `left`, the upper end of `range`, where the part `share` of the
    /// whole demand ends. Keys without demand count a little, so that a range
    /// nobody asks for is still cut evenly.
    fn split(&self, range: KeyRange, left: KeyRange, share: f64) -> (KeyRange, Option<KeyRange>) {
        let target = self.weight(range) * share;
        let (mut low, mut high) = (left.first.0, left.last.0);
        while low < high {
            let middle = low + (high - low) / 2;
            let below = KeyRange {
                first: range.first,
                last: RangeKey(middle),
            };
            if self.weight(below) < target {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        let part = KeyRange {
            first: left.first,
            last: RangeKey(low),
        };
        let rest = part.above().filter(|next| *next <= left.last);
        (
            part,
            rest.map(|first| KeyRange {
                first,
                last: left.last,
            }),
        )
    }

    fn rooms(&self, room: impl Fn(&Share) -> f64) -> Vec<(ServerName, f64)> {
        let shares = self.shares.iter();
        shares
            .map(|(server, share)| (server.clone(), room(share)))
            .collect()
    }

    fn weight(&self, range: KeyRange) -> f64 {
        self.demand(range) + f64::from(range.len()) * KEY_WEIGHT
    }

    fn demand(&self, range: KeyRange) -> f64 {
        KeyDemand::of(self.sums, range)
    }

    fn totals(&self) -> (f64, f64) {
        let load: f64 = self.shares.values().map(|share| share.load).sum();
        let rate: f64 = self.shares.values().map(|share| share.rate).sum();
        (load, rate.max(f64::MIN_POSITIVE))
    }

    fn most_loaded(&self) -> Option<(&ServerName, &Share)> {
        let free = self.shares.iter().filter(|(_, share)| !share.busy);
        free.max_by(|a, b| (a.1.load / a.1.rate).total_cmp(&(b.1.load / b.1.rate)))
    }

    fn least_loaded(&self) -> Option<(&ServerName, &Share)> {
        let free = self.shares.iter().filter(|(_, share)| !share.busy);
        free.min_by(|a, b| (a.1.load / a.1.rate).total_cmp(&(b.1.load / b.1.rate)))
    }
}

/// Requests a second that a key counts without any, when keys are shared out: a
/// thousandth of a server's usual load over the whole space.
const KEY_WEIGHT: f64 = 1e-6;
/// A server with less room than this part of what is shared out gets none of
/// it: each part is an order of its own.
const LEAST_PART: f64 = 0.02;
/// How much of the wished amount a move must carry at least.
const PART_MIN: f64 = 0.6;
/// How much of it a move may carry at most; more would swap the roles.
const PART_MAX: f64 = 1.25;
