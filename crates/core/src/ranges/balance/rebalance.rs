//! Moves that even out server loads.

use {
    super::{Balancer, Reassignment, plan::ServerLoad},
    crate::{
        id::ServerName,
        ranges::{KeyRange, RangeKey, key::subtract},
    },
    std::collections::BTreeMap,
};

/// Requests in the window below which nothing is moved: ten cuts based on two requests
/// each would all be wrong.
const MIN_REQUESTS: f64 = 40.0;
/// A hot key is moved only if the utilization of its new owner is below this fraction of
/// its current owner's; otherwise the gain is not worth the interruption.
const HOT_KEY_GAIN: f64 = 0.7;
/// Number of standard deviations by which a load must exceed the fair load to count as
/// more than random variation.
const EXCESS_SIGMAS: f64 = 2.0;
/// Fraction of the requested load that a move must carry at least.
const MIN_FRACTION: f64 = 0.6;
/// Fraction of the requested load that a move may carry at most. More would make the
/// recipient the overloaded one.
const MAX_FRACTION: f64 = 1.25;

/// Cache of each server's ranges that are not moving. A hot range is divided among
/// hundreds of servers, all of it from the same owner, so the lookup runs once per
/// server.
struct MovableRanges<F> {
    lookup: F,
    cache: BTreeMap<ServerName, Vec<KeyRange>>,
}

impl<F: Fn(&ServerName) -> Vec<KeyRange>> MovableRanges<F> {
    fn get(&mut self, server: &ServerName) -> &[KeyRange] {
        let lookup = &self.lookup;
        let cached = self.cache.entry(server.clone());
        cached.or_insert_with(|| lookup(server))
    }

    fn remove(&mut self, reassignment: &Reassignment) {
        let from = reassignment.from.as_ref();
        if let Some(movable) = from.and_then(|from| self.cache.get_mut(from)) {
            *movable = subtract(std::mem::take(movable), reassignment.range);
        }
    }
}

impl Balancer<'_> {
    /// Plans moves that even out the loads, most urgent first, while `open_moves` moves
    /// are in progress. `lookup` returns the ranges of a server that are not moving; they
    /// are split only if `may_split` is set.
    pub fn reassignments(
        &mut self,
        open_moves: usize,
        may_split: bool,
        lookup: impl Fn(&ServerName) -> Vec<KeyRange>,
    ) -> Vec<Reassignment> {
        let mut reassignments = Vec::new();
        if self.demand.rate(KeyRange::ALL) * self.demand.window_secs() < MIN_REQUESTS {
            return reassignments;
        }
        let mut movable = MovableRanges {
            lookup,
            cache: BTreeMap::new(),
        };
        while let Some(reassignment) =
            self.next_reassignment(open_moves + reassignments.len(), may_split, &mut movable)
        {
            movable.remove(&reassignment);
            reassignments.push(reassignment);
        }
        reassignments
    }

    /// Plans the most urgent move and applies it to the projected loads.
    fn next_reassignment(
        &mut self,
        open_moves: usize,
        may_split: bool,
        movable: &mut MovableRanges<impl Fn(&ServerName) -> Vec<KeyRange>>,
    ) -> Option<Reassignment> {
        let donors = self.donors(open_moves);
        let reassignment = donors.iter().find_map(|from| {
            let ranges = movable.get(from);
            self.move_excess(from, ranges, may_split)
                .or_else(|| self.move_hot_key(from, ranges))
        });
        let (reassignment, moved_rate) = reassignment?;
        for (server, change) in [
            (reassignment.from.as_ref(), -moved_rate),
            (Some(&reassignment.to), moved_rate),
        ] {
            if let Some(entry) = server.and_then(|server| self.by_server.get_mut(server)) {
                entry.load += change;
            }
        }
        Some(reassignment)
    }

    /// Moves keys whose load brings the donor down to its fair load.
    fn move_excess(
        &self,
        from: &ServerName,
        ranges: &[KeyRange],
        may_split: bool,
    ) -> Option<(Reassignment, f64)> {
        let donor = self.by_server.get(from)?;
        let excess = donor.load - self.fair_utilization * donor.rate;
        let recipient = self.least_loaded();
        let fallback = || match self.is_overloaded(donor) {
            true => self.most_headroom(),
            false => None,
        };
        let try_recipient = |(to, headroom): (&ServerName, f64)| {
            let amount = headroom.min(excess);
            if amount <= 0.0 || from == to {
                return None;
            }
            let (range, moved_rate) = self.best_range(ranges, may_split, amount)?;
            Some((reassign(range, from, to), moved_rate))
        };
        recipient
            .and_then(try_recipient)
            .or_else(|| fallback().and_then(try_recipient))
    }

    /// The range with about `amount` of load in the fewest keys.
    fn best_range(
        &self,
        ranges: &[KeyRange],
        may_split: bool,
        amount: f64,
    ) -> Option<(KeyRange, f64)> {
        let found = ranges.iter().filter_map(|range| match may_split {
            true => self.densest_run(*range, amount),
            false => self.whole_range(*range, amount),
        });
        found.max_by(|a, b| score(*a, amount).total_cmp(&score(*b, amount)))
    }

    /// Moves a single key that exceeds a server's fair load to a server that is much
    /// faster or much less loaded. The key cannot be split, and each move interrupts it,
    /// so a small gain is not worth a move.
    fn move_hot_key(&self, from: &ServerName, ranges: &[KeyRange]) -> Option<(Reassignment, f64)> {
        let donor = self.by_server.get(from)?;
        let hottest = ranges
            .iter()
            .filter_map(|range| self.demand.hottest_key(*range));
        let (key, moved_rate) = hottest.max_by(|a, b| a.1.total_cmp(&b.1))?;
        let range = KeyRange {
            first: key,
            last: key,
        };
        let utilization_after = |entry: &ServerLoad| (entry.load + moved_rate) / entry.rate;
        let recipients = self.recipients().filter(|(server, _)| *server != from);
        let (to, recipient) =
            recipients.min_by(|a, b| utilization_after(a.1).total_cmp(&utilization_after(b.1)))?;
        let has_gain = utilization_after(recipient) < HOT_KEY_GAIN * donor.load / donor.rate;
        (has_gain && moved_rate > self.fair_utilization * recipient.rate)
            .then(|| (reassign(range, from, to), moved_rate))
    }

    /// Servers that should give up keys while `open_moves` moves are in progress, most
    /// loaded first.
    fn donors(&self, open_moves: usize) -> Vec<ServerName> {
        if open_moves >= self.limits.max_surge_moves(self.server_count()) {
            return Vec::new();
        }
        let is_below_limit = open_moves < self.limits.max_moves;
        let can_donate = |entry: &ServerLoad| {
            (is_below_limit || self.is_overloaded(entry)) && self.has_excess(entry)
        };
        let mut donors: Vec<(&ServerName, &ServerLoad)> = self
            .by_server
            .iter()
            .filter(|(_, entry)| can_donate(entry))
            .collect();
        donors.sort_by(|a, b| (b.1.load / b.1.rate).total_cmp(&(a.1.load / a.1.rate)));
        donors
            .into_iter()
            .map(|(server, _)| server.clone())
            .collect()
    }

    /// Whether any server receives more requests than it can run.
    pub fn has_overload(&self) -> bool {
        self.by_server
            .values()
            .any(|entry| self.is_overloaded(entry))
    }

    /// Whether the server receives more requests than it can run.
    fn is_overloaded(&self, entry: &ServerLoad) -> bool {
        entry.load > entry.rate * self.limits.overload_utilization
    }

    /// Whether a server is loaded so far above its fair load that moving keys away is
    /// worthwhile.
    fn has_excess(&self, donor: &ServerLoad) -> bool {
        let excess = donor.load - self.fair_utilization * donor.rate;
        let counted = donor.load * self.demand.window_secs();
        if excess * self.demand.window_secs() < EXCESS_SIGMAS * (counted + 1.0).sqrt() {
            return false;
        }
        let relative = donor.load / (self.fair_utilization * donor.rate);
        let utilization = donor.load / donor.rate;
        let is_busy =
            relative > self.limits.busy_ratio && utilization > self.limits.busy_utilization;
        is_busy || relative > self.limits.idle_ratio
    }

    /// The whole range, if it does not carry too much load.
    fn whole_range(&self, range: KeyRange, amount: f64) -> Option<(KeyRange, f64)> {
        let whole = self.demand.rate(range);
        (whole > 0.0 && whole <= amount * MAX_FRACTION).then_some((range, whole))
    }

    /// The shortest run of keys with about `amount` of load: a move costs by the key, and
    /// idle keys gain nothing. If the range has less load, the whole range.
    fn densest_run(&self, range: KeyRange, amount: f64) -> Option<(KeyRange, f64)> {
        let sum = |key: usize| self.demand.rate_below(key);
        let whole = self.demand.rate(range);
        if whole < amount * MIN_FRACTION {
            return (whole > 0.0).then_some((range, whole));
        }
        let end = usize::from(range.last.0) + 1;
        let mut best: Option<(KeyRange, f64)> = None;
        let mut last = usize::from(range.first.0);
        for first in usize::from(range.first.0)..end {
            last = last.max(first + 1);
            while last < end && sum(last) - sum(first) < amount * MIN_FRACTION {
                last += 1;
            }
            let moved_rate = sum(last) - sum(first);
            if moved_rate < amount * MIN_FRACTION {
                break;
            }
            if moved_rate > amount * MAX_FRACTION {
                continue;
            }
            let keys = last - first;
            if best.is_none_or(|(range, _)| keys < range.len() as usize) {
                let first = RangeKey(first as u16);
                let last = RangeKey((last - 1) as u16);
                best = Some((KeyRange { first, last }, moved_rate));
            }
        }
        best
    }

    /// The least loaded server, and how far it is below its fair load.
    fn least_loaded(&self) -> Option<(&ServerName, f64)> {
        let least = self
            .recipients()
            .min_by(|a, b| (a.1.load / a.1.rate).total_cmp(&(b.1.load / b.1.rate)));
        least.map(|(server, entry)| (server, self.fair_utilization * entry.rate - entry.load))
    }

    /// The server with the most spare capacity, and how much that is. Each key of an
    /// overloaded server can exceed what any other server lacks to its fair load; limited
    /// to the fair load, such keys would stay on a server that rejects their requests.
    fn most_headroom(&self) -> Option<(&ServerName, f64)> {
        let headroom =
            |entry: &ServerLoad| entry.rate * self.limits.overload_utilization - entry.load;
        let headrooms = self
            .recipients()
            .map(|(server, entry)| (server, headroom(entry)));
        headrooms.max_by(|a, b| a.1.total_cmp(&b.1))
    }
}

fn reassign(range: KeyRange, from: &ServerName, to: &ServerName) -> Reassignment {
    Reassignment {
        range,
        from: Some(from.clone()),
        to: to.clone(),
    }
}

/// Ranks ranges that carry enough load by load per key, above all others, which are
/// ranked by load.
fn score((range, moved_rate): (KeyRange, f64), amount: f64) -> f64 {
    match moved_rate >= amount * MIN_FRACTION {
        true => 1.0 + moved_rate / f64::from(range.len()),
        false => moved_rate / amount,
    }
}
