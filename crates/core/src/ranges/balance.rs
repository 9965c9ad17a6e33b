//! Which keys should go from one server to another.

use {
    super::{Demand, KeyRange, RangeKey},
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
    /// Moves of a service under way at a time. Each stops a few keys for as long
    /// as the requests on them last.
    pub moves: usize,
}

impl BalanceLimits {
    /// The defaults; see the fields.
    pub const STANDARD: Self = Self {
        ratio: 1.2,
        busy: 0.5,
        skew: 1.6,
        moves: 24,
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
    /// The demand of its busiest key.
    hottest: f64,
}

/// The plan of one moment: servers' loads as they will be after the moves under
/// way, and where more keys should go.
#[derive(Debug)]
pub struct Balance<'a> {
    limits: BalanceLimits,
    demand: &'a Demand,
    shares: BTreeMap<ServerName, Share>,
    fair: f64,
}

impl<'a> Balance<'a> {
    /// A plan for servers that may take keys.
    pub fn new(limits: BalanceLimits, capacities: &[Capacity], demand: &'a Demand) -> Self {
        let share = |capacity: &Capacity| {
            let share = Share {
                rate: capacity.rate.max(f64::MIN_POSITIVE),
                load: 0.0,
                hottest: 0.0,
            };
            (capacity.server.clone(), share)
        };
        Self {
            limits,
            demand,
            shares: capacities.iter().map(share).collect(),
            fair: 0.0,
        }
    }

    /// Requests a second for a range.
    pub fn demand(&self, range: KeyRange) -> f64 {
        self.demand.of(range)
    }

    /// How many servers may take keys.
    pub fn servers(&self) -> usize {
        self.shares.len()
    }

    /// The limits in force.
    pub fn limits(&self) -> &BalanceLimits {
        &self.limits
    }

    /// Adds the load of keys to the server that owns them, or will.
    /// [`Self::level`] follows.
    pub fn load(&mut self, server: &ServerName, range: KeyRange) {
        let demand = self.weight(range);
        let hottest = self.demand.hottest(range).map_or(0.0, |(_, demand)| demand);
        if let Some(share) = self.shares.get_mut(server) {
            share.load += demand;
            share.hottest = share.hottest.max(hottest);
        }
    }

    /// Works out the fair share, once all loads are known. A server with a key
    /// that alone is more than that has its share already: the others divide
    /// the rest.
    pub fn level(&mut self) {
        let (mut load, mut rate) = self.totals();
        let mut shares: Vec<&Share> = self.shares.values().collect();
        shares.sort_by(|a, b| (b.hottest / b.rate).total_cmp(&(a.hottest / a.rate)));
        for share in shares {
            let others = rate - share.rate;
            if share.hottest <= load / rate * share.rate || others <= 0.0 {
                break;
            }
            load -= share.hottest;
            rate = others;
        }
        self.fair = load.max(0.0) / rate;
    }

    /// Load over the fair share of the server where it is highest.
    pub fn highest(&self) -> f64 {
        let relative = |share: &Share| share.load / (self.fair * share.rate);
        let all = self.shares.values().map(relative);
        all.filter(|value| value.is_finite()).fold(0.0, f64::max)
    }

    /// Finds new owners for keys, the least loaded servers first; none if there
    /// is no server. Only a range with much demand is divided: each part is an
    /// order of its own, and a renewal every other second from then on.
    pub fn share_out(&mut self, range: KeyRange) -> Vec<(KeyRange, ServerName)> {
        let (load, _) = self.totals();
        let demand = self.weight(range);
        let part = (load + demand) / self.shares.len().max(1) as f64 * PART_OUT;
        let count = (demand / part)
            .ceil()
            .clamp(1.0, self.shares.len().max(1) as f64);
        let mut parts = Vec::new();
        let mut rest = Some(range);
        for number in 1..=count as u32 {
            let Some(left) = rest else { break };
            let (part, above) = self.split(range, left, f64::from(number) / count);
            let after = |share: &Share| (share.load + self.weight(part)) / share.rate;
            let takers = self.shares.iter();
            let taker = takers.min_by(|a, b| after(a.1).total_cmp(&after(b.1)));
            let Some(to) = taker.map(|(server, _)| server.clone()) else {
                break;
            };
            self.load(&to, part);
            parts.push((part, to));
            rest = above;
        }
        // What rounding left over goes with the last part.
        if let (Some(left), Some((part, _))) = (rest, parts.last_mut()) {
            part.last = left.last;
        }
        parts
    }

    /// Deals keys that never had an owner out in stripes. Busy keys lie close to
    /// one another, so that equal parts of the space would give all of them to
    /// one server until the demand is known; of stripes several servers get a part.
    pub fn deal(&mut self, range: KeyRange) -> Vec<(KeyRange, ServerName)> {
        let servers: Vec<ServerName> = self.shares.keys().cloned().collect();
        if servers.is_empty() {
            return Vec::new();
        }
        let rounds = (STRIPES / servers.len()).clamp(1, ROUNDS);
        let size = range.len().div_ceil((rounds * servers.len()) as u32).max(1);
        let mut parts = Vec::new();
        let mut next = Some(range.first);
        while let Some(first) = next.filter(|first| *first <= range.last) {
            let end = u32::from(first.0) + size - 1;
            let last = RangeKey(end.min(u32::from(range.last.0)) as u16);
            let part = KeyRange { first, last };
            parts.push((part, servers[parts.len() % servers.len()].clone()));
            next = part.above();
        }
        for (part, server) in &parts {
            self.load(server, *part);
        }
        parts
    }

    /// At most `most` moves that make the loads more even, the most needed first.
    /// `parts` are the keys of a server that are not on their way; they are only
    /// cut if `cut` says so.
    pub fn shifts(
        &mut self,
        most: usize,
        cut: bool,
        parts: impl Fn(&ServerName) -> Vec<KeyRange>,
    ) -> Vec<Shift> {
        let mut shifts: Vec<Shift> = Vec::new();
        if self.demand.of(KeyRange::ALL) * self.demand.span() < TELLING {
            return shifts;
        }
        while shifts.len() < most {
            let free = |server: &ServerName| {
                let mut free = parts(server);
                for shift in &shifts {
                    free = cut_out(free, shift.range);
                }
                free
            };
            let Some(shift) = self.next_shift(cut, free) else {
                break;
            };
            shifts.push(shift);
        }
        shifts
    }

    fn next_shift(
        &mut self,
        cut: bool,
        parts: impl Fn(&ServerName) -> Vec<KeyRange>,
    ) -> Option<Shift> {
        let donors = self.donors();
        let shift = donors.iter().find_map(|from| {
            let parts = parts(from);
            self.spread_shift(from, &parts, cut)
                .or_else(|| self.hot_shift(from, &parts))
        });
        let (shift, moved) = shift?;
        for (server, change) in [(shift.from.as_ref(), -moved), (Some(&shift.to), moved)] {
            if let Some(share) = server.and_then(|server| self.shares.get_mut(server)) {
                share.load += change;
            }
        }
        Some(shift)
    }

    /// Keys of a server that together make it as loaded as the others.
    fn spread_shift(
        &self,
        from: &ServerName,
        parts: &[KeyRange],
        cut: bool,
    ) -> Option<(Shift, f64)> {
        let donor = self.shares.get(from)?;
        let (to, taker) = self.least_loaded()?;
        let excess = donor.load - self.fair * donor.rate;
        let amount = excess.min(self.fair * taker.rate - taker.load);
        if amount <= 0.0 || from == to {
            return None;
        }
        let found = parts.iter().filter_map(|range| match cut {
            true => self.densest(*range, amount),
            false => self.undivided(*range, amount),
        });
        let (range, moved) =
            found.max_by(|a, b| worth(*a, amount).total_cmp(&worth(*b, amount)))?;
        Some((shift(range, from, to), moved))
    }

    /// A key that alone is more than a server's share, to a server that is much
    /// faster or has much less beside it. It cannot be divided; each move stops
    /// it for a while, so that a small gain is not worth one.
    fn hot_shift(&self, from: &ServerName, parts: &[KeyRange]) -> Option<(Shift, f64)> {
        let donor = self.shares.get(from)?;
        let hottest = parts.iter().filter_map(|range| self.demand.hottest(*range));
        let (key, moved) = hottest.max_by(|a, b| a.1.total_cmp(&b.1))?;
        let range = KeyRange {
            first: key,
            last: key,
        };
        let after = |share: &Share| (share.load + moved) / share.rate;
        let takers = self.shares.iter().filter(|(server, _)| *server != from);
        let (to, taker) = takers.min_by(|a, b| after(a.1).total_cmp(&after(b.1)))?;
        let gains = after(taker) < HOT_GAIN * donor.load / donor.rate;
        (gains && moved > self.fair * taker.rate).then(|| (shift(range, from, to), moved))
    }

    /// Servers that should give keys away, the most loaded first.
    fn donors(&self) -> Vec<ServerName> {
        let mut donors: Vec<(&ServerName, &Share)> = self
            .shares
            .iter()
            .filter(|(_, share)| self.pays(share))
            .collect();
        donors.sort_by(|a, b| (b.1.load / b.1.rate).total_cmp(&(a.1.load / a.1.rate)));
        donors
            .into_iter()
            .map(|(server, _)| server.clone())
            .collect()
    }

    fn pays(&self, donor: &Share) -> bool {
        let excess = donor.load - self.fair * donor.rate;
        let counted = donor.load * self.demand.span();
        if excess * self.demand.span() < CHANCE * counted.sqrt() {
            return false;
        }
        let relative = donor.load / (self.fair * donor.rate);
        let used = donor.load / donor.rate;
        let busy = relative > self.limits.ratio && used > self.limits.busy;
        busy || relative > self.limits.skew
    }

    /// The whole range, if it does not carry too much.
    fn undivided(&self, range: KeyRange, amount: f64) -> Option<(KeyRange, f64)> {
        let whole = self.demand.of(range);
        (whole > 0.0 && whole <= amount * PART_MAX).then_some((range, whole))
    }

    /// The shortest run of keys with about `amount` of demand: what moves is
    /// paid by the key, and cold keys gain nothing. Less, if the range has less.
    fn densest(&self, range: KeyRange, amount: f64) -> Option<(KeyRange, f64)> {
        let sum = |key: usize| self.demand.below(key);
        let whole = self.demand.of(range);
        if whole < amount * PART_MIN {
            return (whole > 0.0).then_some((range, whole));
        }
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

    fn weight(&self, range: KeyRange) -> f64 {
        self.demand.of(range) + f64::from(range.len()) * KEY_WEIGHT
    }

    fn totals(&self) -> (f64, f64) {
        let load: f64 = self.shares.values().map(|share| share.load).sum();
        let rate: f64 = self.shares.values().map(|share| share.rate).sum();
        (load, rate.max(f64::MIN_POSITIVE))
    }

    fn least_loaded(&self) -> Option<(&ServerName, &Share)> {
        let shares = self.shares.iter();
        shares.min_by(|a, b| (a.1.load / a.1.rate).total_cmp(&(b.1.load / b.1.rate)))
    }
}

fn shift(range: KeyRange, from: &ServerName, to: &ServerName) -> Shift {
    Shift {
        range,
        from: Some(from.clone()),
        to: to.clone(),
    }
}

/// Prefers what carries the wished amount in few keys; what carries less, by how
/// much it carries.
fn worth((range, moved): (KeyRange, f64), amount: f64) -> f64 {
    match moved >= amount * PART_MIN {
        true => 1.0 + moved / f64::from(range.len()),
        false => moved / amount,
    }
}

/// Ranges without the keys of another.
pub fn cut_out(ranges: Vec<KeyRange>, cut: KeyRange) -> Vec<KeyRange> {
    let without = |range: KeyRange| match range.common(cut) {
        Some(common) => range.without(common).into_iter().flatten().collect(),
        None => vec![range],
    };
    ranges.into_iter().flat_map(without).collect()
}

/// Requests a second that a key counts without any, when keys are shared out: a
/// thousandth of a server's usual load over the whole space.
const KEY_WEIGHT: f64 = 1e-6;
/// Stripes that keys are first dealt out in, over all servers: each is renewed
/// on its own, at some 60 orders a second in all.
const STRIPES: usize = 120;
/// Stripes of one server at most.
const ROUNDS: usize = 6;
/// Requests in the demand without which nothing is known of where keys should
/// be: ten cuts made of two requests each would all be wrong.
const TELLING: f64 = 60.0;
/// Load after the move of a hot key, as a part of the load before, from which
/// the move is worth its pause.
const HOT_GAIN: f64 = 0.7;
/// Part of a server's mean load up to which keys find a new owner undivided.
const PART_OUT: f64 = 0.5;
/// How far, in standard deviations, a load must lie over its fair share before
/// it is taken for more than chance.
const CHANCE: f64 = 2.0;
/// How much of the wished amount a move must carry at least.
const PART_MIN: f64 = 0.6;
/// How much of it a move may carry at most; more would swap the roles.
const PART_MAX: f64 = 1.25;

impl std::fmt::Display for Balance<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for share in self.shares.values() {
            write!(f, "{:.1}/{:.1} ", share.load, share.rate)?;
        }
        Ok(())
    }
}
