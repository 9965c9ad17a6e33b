//! The baseline: each instance hashes over the servers that it reaches itself.

use {
    super::{
        cluster::{Keys, SERVERS, SHARDS},
        router::LOST_AFTER,
        scenario::{FAULT, Net, Scenario, VICTIM},
        stats::{Routes, Stats},
        strategy::{Trial, Way},
        simulation::{SEED, STEP, percent},
    },
    citron_core::time::Time,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
};

/// How far apart two instances learn of the same thing.
const SPREAD: Duration = Duration::from_millis(400);

pub struct Modulo {
    /// The servers that each instance hashes over.
    views: Vec<Vec<usize>>,
    seen: Vec<Vec<Time>>,
    lags: Vec<Duration>,
    hot: usize,
}

impl Routes for Modulo {
    fn owner(&self, instance: usize, scope: usize) -> Option<usize> {
        let view = &self.views[instance];
        let shard = if scope == SHARDS { self.hot } else { scope };
        view.get(shard % view.len().max(1)).copied()
    }

    fn may(&self, _: usize, _: usize) -> bool {
        true
    }
}

impl Modulo {
    pub fn run(trial: Trial) -> Stats {
        let mut keys = Keys::new();
        let mut random = ChaCha8Rng::seed_from_u64(SEED);
        let instances = Way::Modulo.instances();
        let lag = |_| Duration::from_millis(random.random_range(0..SPREAD.as_millis() as u64));
        let mut modulo = Self {
            views: vec![Vec::new(); instances],
            seen: vec![vec![Time::ZERO; SERVERS + 1]; instances],
            lags: (0..instances).map(lag).collect(),
            hot: Keys::shard(keys.hot),
        };
        if trial.scenario == Scenario::HotKey {
            keys.turn_hot();
        }
        let mut stats = Stats::new();
        let mut now = Time::ZERO;
        while now < Time::ZERO + FAULT + trial.scenario.lasts() {
            let net = Net::at(trial.scenario, now);
            let before = modulo.owners();
            modulo.step(&net, now);
            if net.begun() {
                let after = modulo.owners();
                stats.moved += before.iter().zip(&after).filter(|(a, b)| a != b).count();
                stats.count(&modulo, trial.way, &net, &keys, STEP);
            }
            now = now + STEP;
        }
        stats.imbalance = modulo.imbalance(&keys);
        stats
    }

    /// Owners as the first instance sees them; no scenario harms it.
    fn owners(&self) -> Vec<Option<usize>> {
        (0..SHARDS).map(|shard| self.owner(0, shard)).collect()
    }

    fn step(&mut self, net: &Net, now: Time) {
        for instance in 0..self.views.len() {
            let lag = self.lags[instance];
            let edited = net.since.is_some_and(|since| since >= lag);
            let leaving = net.scenario == Scenario::Leaving && edited;
            let cut = net.scenario == Scenario::InstanceCut && !net.is_alone(instance);
            let leaving = leaving || (cut && edited);
            let joined = net.scenario == Scenario::ColdServer && edited;
            let seen = &mut self.seen[instance];
            for (server, seen) in seen.iter_mut().enumerate() {
                if net.server_up(server) && net.link(instance, server) {
                    *seen = now;
                }
            }
            let wanted = (0..=SERVERS).filter(|server| match *server {
                SERVERS => joined,
                VICTIM => !leaving,
                _ => true,
            });
            let reached = wanted.filter(|server| now - seen[*server] < LOST_AFTER + lag);
            self.views[instance] = reached.collect();
        }
    }

    fn imbalance(&self, keys: &Keys) -> u64 {
        let mut loads = [0; SERVERS + 1];
        for (shard, (_, load)) in keys.scopes(false).into_iter().enumerate() {
            loads[self.owner(0, shard).unwrap()] += load;
        }
        percent(self.views[0].iter().map(|server| loads[*server]).collect())
    }
}
