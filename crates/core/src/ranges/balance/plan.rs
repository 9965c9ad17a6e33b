//! Servers' loads, and owners for keys that need one.

use {
    super::{BalanceLimits, Capacity},
    crate::{
        id::ServerName,
        ranges::{Demand, KeyRange, RangeKey},
    },
    std::collections::BTreeMap,
};

/// Requests a second that a key counts without any, when keys are shared out: a
/// thousandth of a server's usual load over the whole space.
const KEY_WEIGHT: f64 = 1e-6;
/// Stripes that keys are first dealt out in, over all servers: each is renewed
/// on its own, at some 60 orders a second in all.
const STRIPES: usize = 120;
/// Stripes of one server at most.
const ROUNDS: usize = 6;
/// Part of a server's mean load up to which keys find a new owner undivided.
const PART_OUT: f64 = 0.5;

/// What a server has, and can do.
#[derive(Debug)]
pub(super) struct Share {
    pub rate: f64,
    pub takes: bool,
    pub load: f64,
    /// The demand of its busiest key.
    pub hottest: f64,
}

/// The plan of one moment: servers' loads as they will be after the moves under
/// way, and where more keys should go.
#[derive(Debug)]
pub struct Balance<'a> {
    pub(super) limits: BalanceLimits,
    pub(super) demand: &'a Demand,
    pub(super) shares: BTreeMap<ServerName, Share>,
    /// Load for each unit of rate, if it lay evenly.
    pub(super) fair: f64,
}

impl<'a> Balance<'a> {
    /// A plan for servers that may take keys.
    pub fn new(limits: BalanceLimits, capacities: &[Capacity], demand: &'a Demand) -> Self {
        // Keys without an owner are worse off than those of a cold one.
        let none = !capacities.iter().any(|capacity| capacity.takes);
        let share = |capacity: &Capacity| {
            let share = Share {
                rate: capacity.rate.max(f64::MIN_POSITIVE),
                takes: capacity.takes || none,
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

    /// How many servers there are.
    pub fn servers(&self) -> usize {
        self.shares.len()
    }

    /// The servers that may be given keys.
    pub(super) fn takers(&self) -> impl Iterator<Item = (&ServerName, &Share)> {
        self.shares.iter().filter(|(_, share)| share.takes)
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
        let takers = self.takers().count().max(1) as f64;
        let part = (load + demand) / takers * PART_OUT;
        let count = (demand / part).ceil().clamp(1.0, takers);
        let mut parts = Vec::new();
        let mut rest = Some(range);
        for number in 1..=count as u32 {
            let Some(left) = rest else { break };
            let (part, above) = self.split(range, left, f64::from(number) / count);
            let after = |share: &Share| (share.load + self.weight(part)) / share.rate;
            let taker = self
                .takers()
                .min_by(|a, b| after(a.1).total_cmp(&after(b.1)));
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
        let servers: Vec<ServerName> = self.takers().map(|(server, _)| server.clone()).collect();
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
}

impl std::fmt::Display for Balance<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for share in self.shares.values() {
            write!(f, "{:.1}/{:.1} ", share.load, share.rate)?;
        }
        Ok(())
    }
}
