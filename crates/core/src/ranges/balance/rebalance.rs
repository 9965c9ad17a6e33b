//! Moves that make loads more even.

use {
    super::{Balance, Shift, plan::Share},
    crate::{
        id::ServerName,
        ranges::{KeyRange, RangeKey, key::cut_out},
    },
    std::collections::BTreeMap,
};

/// Requests in the demand without which nothing is known of where keys should
/// be: ten cuts made of two requests each would all be wrong.
const TELLING: f64 = 40.0;
/// Load after the move of a hot key, as a part of the load before, from which
/// the move is worth its pause.
const HOT_GAIN: f64 = 0.7;
/// How far, in standard deviations, a load must lie over its fair share before
/// it is taken for more than chance.
const CHANCE: f64 = 2.0;
/// How much of the wished amount a move must carry at least.
const PART_MIN: f64 = 0.6;
/// How much of it a move may carry at most; more would swap the roles.
const PART_MAX: f64 = 1.25;

/// Keys of servers that are not on their way, asked for once a server: a hot
/// range is divided among hundreds of servers, all from the same one.
struct Free<F> {
    parts: F,
    known: BTreeMap<ServerName, Vec<KeyRange>>,
}

impl<F: Fn(&ServerName) -> Vec<KeyRange>> Free<F> {
    fn of(&mut self, server: &ServerName) -> &[KeyRange] {
        let parts = &self.parts;
        let known = self.known.entry(server.clone());
        known.or_insert_with(|| parts(server))
    }

    fn take(&mut self, shift: &Shift) {
        let from = shift.from.as_ref();
        if let Some(free) = from.and_then(|from| self.known.get_mut(from)) {
            *free = cut_out(std::mem::take(free), shift.range);
        }
    }
}

impl Balance<'_> {
    /// Moves that make the loads more even, the most needed first, where `under` of
    /// them are under way. `parts` are the keys of a server that are not on their
    /// way; they are only cut if `cut` says so.
    pub fn shifts(
        &mut self,
        under: usize,
        cut: bool,
        parts: impl Fn(&ServerName) -> Vec<KeyRange>,
    ) -> Vec<Shift> {
        let mut shifts = Vec::new();
        if self.demand.of(KeyRange::ALL) * self.demand.span() < TELLING {
            return shifts;
        }
        let mut free = Free {
            parts,
            known: BTreeMap::new(),
        };
        while let Some(shift) = self.next_shift(under + shifts.len(), cut, &mut free) {
            free.take(&shift);
            shifts.push(shift);
        }
        shifts
    }

    fn next_shift(
        &mut self,
        under: usize,
        cut: bool,
        free: &mut Free<impl Fn(&ServerName) -> Vec<KeyRange>>,
    ) -> Option<Shift> {
        let donors = self.donors(under);
        let shift = donors.iter().find_map(|from| {
            let parts = free.of(from);
            self.spread_shift(from, parts, cut)
                .or_else(|| self.hot_shift(from, parts))
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
        let excess = donor.load - self.fair * donor.rate;
        let usual = self.least_loaded();
        let relief = || match self.is_overloaded(donor) {
            true => self.roomiest(),
            false => None,
        };
        let give = |(to, room): (&ServerName, f64)| {
            let amount = room.min(excess);
            if amount <= 0.0 || from == to {
                return None;
            }
            let (range, moved) = self.best_part(parts, cut, amount)?;
            Some((shift(range, from, to), moved))
        };
        usual.and_then(give).or_else(|| relief().and_then(give))
    }

    /// The part that carries about `amount` in the fewest keys.
    fn best_part(&self, parts: &[KeyRange], cut: bool, amount: f64) -> Option<(KeyRange, f64)> {
        let found = parts.iter().filter_map(|range| match cut {
            true => self.densest(*range, amount),
            false => self.undivided(*range, amount),
        });
        found.max_by(|a, b| worth(*a, amount).total_cmp(&worth(*b, amount)))
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
        let takers = self.takers().filter(|(server, _)| *server != from);
        let (to, taker) = takers.min_by(|a, b| after(a.1).total_cmp(&after(b.1)))?;
        let gains = after(taker) < HOT_GAIN * donor.load / donor.rate;
        (gains && moved > self.fair * taker.rate).then(|| (shift(range, from, to), moved))
    }

    /// Servers that should give keys away while so many moves are under way, the
    /// most loaded first.
    fn donors(&self, under: usize) -> Vec<ServerName> {
        if under >= self.limits.surge_moves(self.servers()) {
            return Vec::new();
        }
        let usual = under < self.limits.moves;
        let gives = |share: &Share| (usual || self.is_overloaded(share)) && self.pays(share);
        let mut donors: Vec<(&ServerName, &Share)> = self
            .shares
            .iter()
            .filter(|(_, share)| gives(share))
            .collect();
        donors.sort_by(|a, b| (b.1.load / b.1.rate).total_cmp(&(a.1.load / a.1.rate)));
        donors
            .into_iter()
            .map(|(server, _)| server.clone())
            .collect()
    }

    /// Whether a server is asked for more than it can run.
    pub fn has_overload(&self) -> bool {
        self.shares.values().any(|share| self.is_overloaded(share))
    }

    fn is_overloaded(&self, share: &Share) -> bool {
        share.load > share.rate * self.limits.overload
    }

    fn pays(&self, donor: &Share) -> bool {
        let excess = donor.load - self.fair * donor.rate;
        let counted = donor.load * self.demand.span();
        if excess * self.demand.span() < CHANCE * (counted + 1.0).sqrt() {
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

    /// The least loaded server, and what it lacks of its fair share.
    fn least_loaded(&self) -> Option<(&ServerName, f64)> {
        let least = self
            .takers()
            .min_by(|a, b| (a.1.load / a.1.rate).total_cmp(&(b.1.load / b.1.rate)));
        least.map(|(server, share)| (server, self.fair * share.rate - share.load))
    }

    /// The server that can run the most besides what it has, and how much that is.
    /// Keys of an overloaded server may be busier each than what others lack of their
    /// fair share, and would stay where their callers are refused.
    fn roomiest(&self) -> Option<(&ServerName, f64)> {
        let room = |share: &Share| share.rate * self.limits.overload - share.load;
        let rooms = self.takers().map(|(server, share)| (server, room(share)));
        rooms.max_by(|a, b| a.1.total_cmp(&b.1))
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
