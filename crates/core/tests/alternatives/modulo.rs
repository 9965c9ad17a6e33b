//! Baseline without ownership: each instance hashes keys over the servers that it reaches.

use {
    super::{
        cluster::{KeyLoads, SERVER_COUNT, SHARD_COUNT},
        router::LOST_AFTER,
        scenario::{FAULT_START, FaultState, Scenario, TARGET},
        simulation::{SEED, STEP, max_over_mean_percent},
        stats::{Routes, Stats},
        strategy::{Strategy, Trial},
    },
    citron_core::time::Time,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
};

/// Largest difference between the times at which two instances detect the same change.
const DETECTION_SPREAD: Duration = Duration::from_millis(400);

/// State of the baseline.
pub struct Modulo {
    /// Servers that each instance hashes over.
    views: Vec<Vec<usize>>,
    /// Time of the last answer of each server, by instance.
    last_seen: Vec<Vec<Time>>,
    /// Delay with which each instance detects changes.
    detection_lags: Vec<Duration>,
    /// Shard of the hot key, which is never extracted here.
    hot_shard: usize,
}

impl Routes for Modulo {
    fn owner(&self, instance: usize, scope: usize) -> Option<usize> {
        let view = &self.views[instance];
        let shard = if scope == SHARD_COUNT {
            self.hot_shard
        } else {
            scope
        };
        view.get(shard % view.len().max(1)).copied()
    }

    fn may_send(&self, _: usize, _: usize) -> bool {
        true
    }
}

impl Modulo {
    /// Runs a trial of the baseline.
    pub fn run(trial: Trial) -> Stats {
        let mut keys = KeyLoads::new();
        let mut random = ChaCha8Rng::seed_from_u64(SEED);
        let instances = Strategy::Modulo.instance_count();
        let detection_lag =
            |_| Duration::from_millis(random.random_range(0..DETECTION_SPREAD.as_millis() as u64));
        let mut modulo = Self {
            views: vec![Vec::new(); instances],
            last_seen: vec![vec![Time::ZERO; SERVER_COUNT + 1]; instances],
            detection_lags: (0..instances).map(detection_lag).collect(),
            hot_shard: KeyLoads::shard_of(keys.hot_key),
        };
        if trial.scenario == Scenario::HotKey {
            keys.raise_hot_key();
        }
        let mut stats = Stats::new();
        let mut now = Time::ZERO;
        while now < Time::ZERO + FAULT_START + trial.scenario.run_after_fault() {
            let faults = FaultState::at(trial.scenario, now);
            let before = modulo.owners();
            modulo.step(&faults, now);
            if faults.has_started() {
                let after = modulo.owners();
                stats.moved += before.iter().zip(&after).filter(|(a, b)| a != b).count();
                stats.record_step(&modulo, trial.strategy, &faults, &keys, STEP);
            }
            now = now + STEP;
        }
        stats.imbalance = modulo.imbalance(&keys);
        stats
    }

    /// Owners from the view of the first instance, which no scenario affects.
    fn owners(&self) -> Vec<Option<usize>> {
        (0..SHARD_COUNT).map(|shard| self.owner(0, shard)).collect()
    }

    fn step(&mut self, faults: &FaultState, now: Time) {
        for instance in 0..self.views.len() {
            let detection_lag = self.detection_lags[instance];
            let edited = faults.elapsed.is_some_and(|since| since >= detection_lag);
            let leaving = faults.scenario == Scenario::ServerLeaving && edited;
            let cut = faults.scenario == Scenario::InstanceCutOff && !faults.is_isolated(instance);
            let leaving = leaving || (cut && edited);
            let joined = faults.scenario == Scenario::ColdServer && edited;
            let last_seen = &mut self.last_seen[instance];
            for (server, last_seen) in last_seen.iter_mut().enumerate() {
                if faults.is_server_up(server) && faults.is_connected(instance, server) {
                    *last_seen = now;
                }
            }
            let expected = (0..=SERVER_COUNT).filter(|server| match *server {
                SERVER_COUNT => joined,
                TARGET => !leaving,
                _ => true,
            });
            let reached =
                expected.filter(|server| now - last_seen[*server] < LOST_AFTER + detection_lag);
            self.views[instance] = reached.collect();
        }
    }

    fn imbalance(&self, keys: &KeyLoads) -> u64 {
        let mut loads = [0; SERVER_COUNT + 1];
        for (shard, (_, load)) in keys.scope_loads(false).into_iter().enumerate() {
            loads[self.owner(0, shard).unwrap()] += load;
        }
        max_over_mean_percent(self.views[0].iter().map(|server| loads[*server]).collect())
    }
}
