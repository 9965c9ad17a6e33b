//! Measurements of a run: outages, moves, imbalance and keys with two owners.

use {
    super::{
        cluster::{KEY_COUNT, KeyLoads, SERVER_COUNT, SHARD_COUNT},
        scenario::{DOMAINS, FaultState},
        strategy::Strategy,
    },
    std::time::Duration,
};

/// Routing decisions of all instances at one moment.
pub trait Routes {
    /// Server to which an instance would send a request for a scope; scope `SHARD_COUNT` is the
    /// hot key.
    fn owner(&self, instance: usize, scope: usize) -> Option<usize>;

    /// Whether an instance may send requests to a server now.
    fn may_send(&self, instance: usize, server: usize) -> bool;
}

/// Measurements of a run, from the fault to the end.
#[derive(Debug, Clone, Default)]
pub struct Stats {
    /// Time during which no instance could serve a scope, by scope.
    outages: Vec<Duration>,
    /// Whether a scope ever had two owners that would run requests at the same time, by scope.
    had_two_owners: Vec<bool>,
    /// Unavailable key-seconds, for callers spread evenly over the domains.
    unavailable_key_seconds: f64,
    /// Scopes that changed their owner.
    pub moved: usize,
    /// Load of the most loaded server over the mean at the end, in percent.
    pub imbalance: u64,
}

impl Stats {
    /// Measurements before the first step.
    pub fn new() -> Self {
        Self {
            outages: vec![Duration::ZERO; SHARD_COUNT + 1],
            had_two_owners: vec![false; SHARD_COUNT + 1],
            ..Self::default()
        }
    }

    /// Longest total time, over all keys, without an instance that could serve the key; in
    /// seconds.
    pub fn worst_outage(&self) -> f64 {
        self.outages.iter().max().unwrap().as_secs_f64()
    }

    /// Unavailable time of a key, as the mean over keys and callers; in seconds.
    pub fn mean_outage(&self) -> f64 {
        self.unavailable_key_seconds / KEY_COUNT as f64
    }

    /// Scopes that had two owners at the same time at any step.
    pub fn overlaps(&self) -> usize {
        self.had_two_owners
            .iter()
            .filter(|had_two_owners| **had_two_owners)
            .count()
    }

    /// Adds one step of a run.
    pub fn record_step(
        &mut self,
        routes: &impl Routes,
        strategy: Strategy,
        faults: &FaultState,
        keys: &KeyLoads,
        step: Duration,
    ) {
        let reachability = Reachability::new(routes, strategy, faults);
        for scope in 0..=SHARD_COUNT {
            let served = self.served_shares(routes, &reachability, scope);
            if served.iter().all(|part| *part == 0.0) {
                self.outages[scope] += step;
            }
            let weight = keys.keys_per_shard.get(scope).copied().unwrap_or(0) as f64;
            let mean = served.iter().sum::<f64>() / served.len() as f64;
            self.unavailable_key_seconds += (1.0 - mean) * weight * step.as_secs_f64();
        }
    }

    /// Share of each domain's callers whose requests for a scope are served; records an overlap
    /// if two instances would send to different servers.
    fn served_shares(
        &mut self,
        routes: &impl Routes,
        reachability: &Reachability,
        scope: usize,
    ) -> [f64; DOMAINS] {
        let mut served = [0; DOMAINS];
        let mut owner = None;
        for (instance, instance_reach) in reachability.instances.iter().enumerate() {
            let server = routes.owner(instance, scope);
            let Some(server) = server.filter(|server| instance_reach.usable_servers[*server])
            else {
                continue;
            };
            self.had_two_owners[scope] |= owner.is_some_and(|owner| owner != server);
            owner = Some(server);
            for (served, is_served) in served.iter_mut().zip(instance_reach.domains) {
                *served += usize::from(is_served);
            }
        }
        std::array::from_fn(|domain| {
            let all = reachability.instances_per_domain[domain];
            served[domain].min(all) as f64 / all.max(1) as f64
        })
    }
}

/// Servers that one instance reaches, and callers that reach it.
struct InstanceReach {
    /// Whether each server is running, reachable and allowed for the instance.
    usable_servers: Vec<bool>,
    /// Whether the instance serves the callers of each domain.
    domains: [bool; DOMAINS],
}

/// Reachability of all instances at one moment.
struct Reachability {
    instances: Vec<InstanceReach>,
    /// Number of instances over which the callers of each domain are spread; 1 if any instance
    /// in reach can serve them all.
    instances_per_domain: [usize; DOMAINS],
}

impl Reachability {
    fn new(routes: &impl Routes, strategy: Strategy, faults: &FaultState) -> Self {
        let instance_reach = |instance: usize| {
            let up = faults.is_instance_up(instance);
            let reach =
                |server| up && faults.is_server_up(server) && faults.is_connected(server, instance);
            let servers = 0..=SERVER_COUNT;
            let servers = servers.map(|server| reach(server) && routes.may_send(instance, server));
            InstanceReach {
                usable_servers: servers.collect(),
                domains: std::array::from_fn(|domain| match strategy.forwards() {
                    true => faults.is_connected(domain, instance) && !faults.is_isolated(instance),
                    false => domain == instance % DOMAINS,
                }),
            }
        };
        let own = |domain: usize| {
            let own = (0..strategy.instance_count()).filter(|n| n % DOMAINS == domain);
            own.filter(|n| faults.is_instance_up(*n)).count()
        };
        Self {
            instances: (0..strategy.instance_count()).map(instance_reach).collect(),
            instances_per_domain: std::array::from_fn(|domain| match strategy.forwards() {
                true => 1,
                false => own(domain),
            }),
        }
    }
}
