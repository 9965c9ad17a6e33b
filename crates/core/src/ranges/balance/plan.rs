//! Projected server loads, and placement of keys that need an owner.

use {
    super::{BalanceLimits, Capacity},
    crate::{
        id::ServerName,
        ranges::{Demand, KeyRange, RangeKey},
    },
    std::collections::BTreeMap,
};

/// Requests per second added for each key when keys are distributed, so that keys without
/// demand count as well. Over the whole key space this is a thousandth of a server's
/// usual load.
const IDLE_KEY_RATE: f64 = 1e-6;
/// Share of the mean server load up to which a range is reassigned without being split.
const UNSPLIT_FRACTION: f64 = 0.5;

/// Load and capacity of a server.
#[derive(Debug)]
pub(super) struct ServerLoad {
    /// Requests per second that the server can run.
    pub rate: f64,
    /// Whether it may be assigned more keys.
    pub accepts_keys: bool,
    /// Requests per second for its keys.
    pub load: f64,
    /// Requests per second of its busiest hot key.
    pub hottest_key_rate: f64,
}

/// Load balancing at one moment: projected loads after all moves in progress, and the
/// placement of further keys.
#[derive(Debug)]
pub struct Balancer<'a> {
    pub(super) limits: BalanceLimits,
    pub(super) demand: &'a Demand,
    pub(super) by_server: BTreeMap<ServerName, ServerLoad>,
    /// Load divided by capacity if the load were spread evenly.
    pub(super) fair_utilization: f64,
}

impl<'a> Balancer<'a> {
    /// Creates a balancer without load for servers of the given capacities.
    pub fn new(limits: BalanceLimits, capacities: &[Capacity], demand: &'a Demand) -> Self {
        // If no server accepts keys, all do: a cold owner is better than none.
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

    /// Requests per second for `range`.
    pub fn demand(&self, range: KeyRange) -> f64 {
        self.demand.rate(range)
    }

    /// Number of servers.
    pub fn server_count(&self) -> usize {
        self.by_server.len()
    }

    /// Servers that may be assigned keys.
    pub(super) fn recipients(&self) -> impl Iterator<Item = (&ServerName, &ServerLoad)> {
        self.by_server
            .iter()
            .filter(|(_, entry)| entry.accepts_keys)
    }

    /// The thresholds in use.
    pub fn limits(&self) -> &BalanceLimits {
        &self.limits
    }

    /// Adds the load of `range` to its current or future owner. Call
    /// [`Self::update_fair_utilization`] after the last call.
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

    /// Computes the fair utilization from the loads. A server whose single hottest key
    /// exceeds its fair load is left out with that key, and the other servers share the
    /// rest.
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

    /// Highest load of any server relative to its fair load.
    pub fn max_relative_load(&self) -> f64 {
        let relative = |entry: &ServerLoad| entry.load / (self.fair_utilization * entry.rate);
        let all = self.by_server.values().map(relative);
        all.filter(|value| value.is_finite()).fold(0.0, f64::max)
    }

    /// Splits `range` among the least loaded servers; empty if there are no servers. Only
    /// a range with high demand is split, because each part costs one order now and a
    /// renewal every 2.5 s.
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
            let utilization_after =
                |entry: &ServerLoad| (entry.load + self.weight(part)) / entry.rate;
            let recipient = self
                .recipients()
                .min_by(|a, b| utilization_after(a.1).total_cmp(&utilization_after(b.1)));
            let Some(to) = recipient.map(|(server, _)| server.clone()) else {
                break;
            };
            self.add_load(&to, part);
            parts.push((part, to));
            rest = above;
        }
        // Keys left over by rounding go to the last part.
        if let (Some(left), Some((part, _))) = (rest, parts.last_mut()) {
            part.last = left.last;
        }
        parts
    }

    /// Splits `left`, the upper end of `range`, at the key below which lies `fraction` of
    /// the weight of `range`. Keys without demand have a small weight, so that an idle
    /// range is split evenly.
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

    /// Requests per second for `range`, with a small addition for each key.
    pub(super) fn weight(&self, range: KeyRange) -> f64 {
        self.demand.rate(range) + f64::from(range.len()) * IDLE_KEY_RATE
    }

    /// Load and capacity of all servers together.
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
