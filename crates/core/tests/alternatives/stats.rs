//! What is measured of a run.

use {
    super::{
        cluster::{KEYS, Keys, SERVERS, SHARDS},
        scenario::{DOMAINS, Net},
        strategy::Way,
    },
    std::time::Duration,
};

/// Who routes what where, at one moment.
pub trait Routes {
    /// The server that an instance would send a request of a scope to; scope
    /// `SHARDS` is the hot key.
    fn owner(&self, instance: usize, scope: usize) -> Option<usize>;

    /// Whether it may send to a server at all now.
    fn may(&self, instance: usize, server: usize) -> bool;
}

#[derive(Debug, Clone, Default)]
pub struct Stats {
    /// Time that no instance could serve a scope, by scope.
    dark: Vec<Duration>,
    /// Scopes that ever had two owners that would run requests at once.
    doubled: Vec<bool>,
    /// Unavailable key-seconds, of callers spread evenly over domains.
    missed: f64,
    pub moved: usize,
    /// Load of the fullest server over the mean at the end, in percent.
    pub imbalance: u64,
}

impl Stats {
    pub fn new() -> Self {
        Self {
            dark: vec![Duration::ZERO; SHARDS + 1],
            doubled: vec![false; SHARDS + 1],
            ..Self::default()
        }
    }

    /// The worst key's time without any instance that could serve it.
    pub fn worst(&self) -> f64 {
        self.dark.iter().max().unwrap().as_secs_f64()
    }

    /// Unavailable seconds a key, for the mean key and caller.
    pub fn mean(&self) -> f64 {
        self.missed / KEYS as f64
    }

    pub fn overlaps(&self) -> usize {
        self.doubled.iter().filter(|doubled| **doubled).count()
    }

    /// Counts one step of a run.
    pub fn count(
        &mut self,
        routes: &impl Routes,
        way: Way,
        net: &Net,
        keys: &Keys,
        step: Duration,
    ) {
        let paths = Paths::new(routes, way, net);
        for scope in 0..=SHARDS {
            let served = self.look(routes, &paths, scope);
            if served.iter().all(|part| *part == 0.0) {
                self.dark[scope] += step;
            }
            let weight = keys.counts.get(scope).copied().unwrap_or(0) as f64;
            let mean = served.iter().sum::<f64>() / served.len() as f64;
            self.missed += (1.0 - mean) * weight * step.as_secs_f64();
        }
    }

    /// The part of each domain's callers that are served.
    fn look(&mut self, routes: &impl Routes, paths: &Paths, scope: usize) -> [f64; DOMAINS] {
        let mut served = [0; DOMAINS];
        let mut owner = None;
        for (instance, path) in paths.instances.iter().enumerate() {
            let server = routes.owner(instance, scope);
            let Some(server) = server.filter(|server| path.servers[*server]) else {
                continue;
            };
            self.doubled[scope] |= owner.is_some_and(|owner| owner != server);
            owner = Some(server);
            for (served, takes) in served.iter_mut().zip(path.takes) {
                *served += usize::from(takes);
            }
        }
        std::array::from_fn(|domain| {
            let all = paths.callers[domain];
            served[domain].min(all) as f64 / all.max(1) as f64
        })
    }
}

/// What one instance reaches and is reached from.
struct Path {
    /// The running servers that it reaches and may send to.
    servers: Vec<bool>,
    /// The domains whose callers it takes.
    takes: [bool; DOMAINS],
}

struct Paths {
    instances: Vec<Path>,
    /// The instances that share the callers of each domain.
    callers: [usize; DOMAINS],
}

impl Paths {
    fn new(routes: &impl Routes, way: Way, net: &Net) -> Self {
        let path = |instance: usize| {
            let up = net.instance_up(instance);
            let reach = |server| up && net.server_up(server) && net.link(server, instance);
            let servers = 0..=SERVERS;
            let servers = servers.map(|server| reach(server) && routes.may(instance, server));
            Path {
                servers: servers.collect(),
                takes: std::array::from_fn(|domain| match way.hands_on() {
                    true => net.link(domain, instance) && !net.is_alone(instance),
                    false => domain == instance % DOMAINS,
                }),
            }
        };
        let own = |domain: usize| {
            let own = (0..way.instances()).filter(|n| n % DOMAINS == domain);
            own.filter(|n| net.instance_up(*n)).count()
        };
        Self {
            instances: (0..way.instances()).map(path).collect(),
            callers: std::array::from_fn(|domain| match way.hands_on() {
                true => 1,
                false => own(domain),
            }),
        }
    }
}
