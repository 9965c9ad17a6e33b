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
const IDLE_KEY_RATE: f64 = 1e-6;
/// Stripes that keys are first dealt out in, over all servers: each is renewed
/// on its own, at some 60 orders a second in all.
const TOTAL_STRIPES: usize = 120;
/// Stripes of one server at most.
const MAX_STRIPES_PER_SERVER: usize = 6;
/// Part of a server's mean load up to which keys find a new owner undivided.
const UNSPLIT_FRACTION: f64 = 0.5;

/// What a server has, and can do.
#[derive(Debug)]
pub(super) struct ServerLoad {
    pub rate: f64,
    pub accepts_keys: bool,
    pub load: f64,
    /// The demand of its busiest key.
    pub hottest_key_rate: f64,
}

/// The plan of one moment: servers' loads as they will be after the moves under
/// way, and where more keys should go.
#[derive(Debug)]
pub struct Balancer<'a> {
    pub(super) limits: BalanceLimits,
    pub(super) demand: &'a Demand,
    pub(super) by_server: BTreeMap<ServerName, ServerLoad>,
    /// Load for each unit of rate, if it lay evenly.
    pub(super) fair_utilization: f64,
}

impl<'a> Balancer<'a> {
    /// A plan for servers that may take keys.
    pub fn new(limits: BalanceLimits, capacities: &[Capacity], demand: &'a Demand) -> Self {
        // Keys without an owner are worse off than those of a cold one.
        let no_recipient = !capacities.iter().any(|capacity| capacity.accepts_keys);
        let entry = |capacity: &Capacity| {
            let entry = ServerLoad {
                rate: capacity.rate.max(f64::MIN_POSITIVE),
                accepts_keys: capacity.accepts_keys || no_recipient,
                load: 0.0,
                hottest_key_rate: 0.0,
            };
            (capacity.server.clone(), entry)
        };
        Self {
            limits,
            demand,
            by_server: capacities.iter().map(entry).collect(),
            fair_utilization: 0.0,
        }
    }

    /// Requests a second for a range.
    pub fn demand(&self, range: KeyRange) -> f64 {
        self.demand.rate(range)
    }

    /// How many servers there are.
    pub fn server_count(&self) -> usize {
        self.by_server.len()
    }

    /// The servers that may be given keys.
    pub(super) fn recipients(&self) -> impl Iterator<Item = (&ServerName, &ServerLoad)> {
        self.by_server
            .iter()
            .filter(|(_, entry)| entry.accepts_keys)
    }

    /// The limits in force.
    pub fn limits(&self) -> &BalanceLimits {
        &self.limits
    }

    /// Adds the load of keys to the server that owns them, or will.
    /// [`Self::update_fair_utilization`] follows.
    pub fn add_load(&mut self, server: &ServerName, range: KeyRange) {
        let demand = self.weight(range);
        let hottest_key_rate = self
            .demand
            .hottest_key(range)
            .map_or(0.0, |(_, demand)| demand);
        if let Some(entry) = self.by_server.get_mut(server) {
            entry.load += demand;
            entry.hottest_key_rate = entry.hottest_key_rate.max(hottest_key_rate);
        }
    }

    /// Works out the fair share, once all loads are known. A server with a key
    /// that alone is more than that has its share already: the others divide
    /// the rest.
    pub fn update_fair_utilization(&mut self) {
        let (mut load, mut rate) = self.totals();
        let mut busiest: Vec<&ServerLoad> = self.by_server.values().collect();
        busiest.sort_by(|a, b| {
            (b.hottest_key_rate / b.rate).total_cmp(&(a.hottest_key_rate / a.rate))
        });
        for entry in busiest {
            let others = rate - entry.rate;
            if entry.hottest_key_rate <= load / rate * entry.rate || others <= 0.0 {
                break;
            }
            load -= entry.hottest_key_rate;
            rate = others;
        }
        self.fair_utilization = load.max(0.0) / rate;
    }

    /// Load over the fair share of the server where it is highest.
    pub fn max_relative_load(&self) -> f64 {
        let relative = |entry: &ServerLoad| entry.load / (self.fair_utilization * entry.rate);
        let all = self.by_server.values().map(relative);
        all.filter(|value| value.is_finite()).fold(0.0, f64::max)
    }

    /// Finds new owners for keys, the least loaded servers first; none if there
    /// is no server. Only a range with much demand is divided: each part is an
    /// order of its own, and a renewal every other second from then on.
    pub fn distribute(&mut self, range: KeyRange) -> Vec<(KeyRange, ServerName)> {
        let (load, _) = self.totals();
        let demand = self.weight(range);
        let recipients = self.recipients().count().max(1) as f64;
        let max_undivided = (load + demand) / recipients * UNSPLIT_FRACTION;
        let count = (demand / max_undivided).ceil().clamp(1.0, recipients);
        let mut parts = Vec::new();
        let mut rest = Some(range);
        for number in 1..=count as u32 {
            let Some(left) = rest else { break };
            let (part, above) = self.split(range, left, f64::from(number) / count);
            let after = |entry: &ServerLoad| (entry.load + self.weight(part)) / entry.rate;
            let recipient = self
                .recipients()
                .min_by(|a, b| after(a.1).total_cmp(&after(b.1)));
            let Some(to) = recipient.map(|(server, _)| server.clone()) else {
                break;
            };
            self.add_load(&to, part);
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
    pub fn assign_stripes(&mut self, range: KeyRange) -> Vec<(KeyRange, ServerName)> {
        let servers: Vec<ServerName> = self
            .recipients()
            .map(|(server, _)| server.clone())
            .collect();
        if servers.is_empty() {
            return Vec::new();
        }
        let stripes_per_server = (TOTAL_STRIPES / servers.len()).clamp(1, MAX_STRIPES_PER_SERVER);
        let stripe_keys = range
            .len()
            .div_ceil((stripes_per_server * servers.len()) as u32)
            .max(1);
        let mut parts = Vec::new();
        let mut next = Some(range.first);
        while let Some(first) = next.filter(|first| *first <= range.last) {
            let end = u32::from(first.0) + stripe_keys - 1;
            let last = RangeKey(end.min(u32::from(range.last.0)) as u16);
            let part = KeyRange { first, last };
            parts.push((part, servers[parts.len() % servers.len()].clone()));
            next = part.next_key();
        }
        for (part, server) in &parts {
            self.add_load(server, *part);
        }
        parts
    }

    /// Cuts `left`, the upper end of `range`, where the part `entry` of the
    /// whole demand ends. Keys without demand count a little, so that a range
    /// nobody asks for is still cut evenly.
    fn split(
        &self,
        range: KeyRange,
        left: KeyRange,
        fraction: f64,
    ) -> (KeyRange, Option<KeyRange>) {
        let target = self.weight(range) * fraction;
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
        let rest = part.next_key().filter(|next| *next <= left.last);
        (
            part,
            rest.map(|first| KeyRange {
                first,
                last: left.last,
            }),
        )
    }

    fn weight(&self, range: KeyRange) -> f64 {
        self.demand.rate(range) + f64::from(range.len()) * IDLE_KEY_RATE
    }

    fn totals(&self) -> (f64, f64) {
        let load: f64 = self.by_server.values().map(|entry| entry.load).sum();
        let rate: f64 = self.by_server.values().map(|entry| entry.rate).sum();
        (load, rate.max(f64::MIN_POSITIVE))
    }
}

impl std::fmt::Display for Balancer<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for entry in self.by_server.values() {
            write!(f, "{:.1}/{:.1} ", entry.load, entry.rate)?;
        }
        Ok(())
    }
}
