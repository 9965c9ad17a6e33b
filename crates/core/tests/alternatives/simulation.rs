//! Simulation of one strategy in one scenario, with the production decision code.

use {
    super::{
        cluster::{self, KeyLoads, operator_edit, parse_number, write_rows},
        driver::{Driver, server_loads},
        router::{READ_INTERVAL, Router},
        scenario::{DOMAINS, FAULT_START, FaultState, Scenario},
        stats::{Routes, Stats},
        strategy::{Strategy, Trial},
    },
    citron_core::{ownership::ProtocolRules, table::Table, time::Time},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{rc::Rc, time::Duration},
};

/// Length of a step. A commit, a read, a probe and a message to another instance each take
/// one step.
pub const STEP: Duration = Duration::from_millis(100);
/// Largest age of an instance's last read at which the instance may lead.
const LEADER_READ_MAX_AGE: Duration = Duration::from_millis(1_200);
/// Seed for the phases of the instances' reads, and for the detection lags of the baseline.
pub const SEED: u64 = 4;

/// State of a run: the platform's table, the instances and the load.
pub struct Simulation {
    trial: Trial,
    now: Time,
    platform_table: Rc<Table>,
    routers: Vec<Router>,
    keys: KeyLoads,
}

impl Routes for Simulation {
    fn owner(&self, instance: usize, scope: usize) -> Option<usize> {
        self.routers[instance].owner(scope)
    }

    fn may_send(&self, instance: usize, server: usize) -> bool {
        self.routers[instance].may_send(&self.trial, server, self.now)
    }
}

impl Simulation {
    fn new(trial: Trial) -> Self {
        let instances = trial.strategy.instance_count();
        let platform_table = cluster::initial_table(instances, trial.grace);
        let mut random = ChaCha8Rng::seed_from_u64(SEED);
        let routers = (0..instances).map(|instance| {
            let phase = random.random_range(0..READ_INTERVAL.as_millis() as u64);
            Router::new(instance, &platform_table, Duration::from_millis(phase))
        });
        Self {
            trial,
            now: Time::ZERO,
            routers: routers.collect(),
            platform_table,
            keys: KeyLoads::new(),
        }
    }

    /// Runs a trial under the protocol rules `R` and returns what was measured from the fault on.
    pub fn run<R: ProtocolRules>(trial: Trial) -> Stats {
        let mut simulation = Self::new(trial);
        let mut driver = Driver::<R>::new(0);
        let mut stats = Stats::new();
        let mut moved_before = 0;
        let mut is_edited = false;
        let end = Time::ZERO + FAULT_START + trial.scenario.run_after_fault();
        while simulation.now < end {
            let faults = FaultState::at(trial.scenario, simulation.now);
            if faults.has_started() && !is_edited {
                is_edited = true;
                moved_before = driver.moved;
                simulation.apply_edit();
            }
            simulation.step_routers(&faults);
            simulation.run_leader(&faults, &mut driver);
            if faults.has_started() {
                stats.record_step(&simulation, trial.strategy, &faults, &simulation.keys, STEP);
            }
            simulation.now = simulation.now + STEP;
        }
        stats.moved = driver.moved - moved_before;
        stats.imbalance = simulation.imbalance();
        stats
    }

    fn apply_edit(&mut self) {
        if let Some(row) = operator_edit(self.trial.scenario) {
            write_rows(
                &mut self.platform_table,
                [(row.key(), Some(row))].into_iter(),
            );
        }
        if self.trial.scenario == Scenario::HotKey {
            self.keys.raise_hot_key();
        }
    }

    fn step_routers(&mut self, faults: &FaultState) {
        let hot = self.keys.hot_key;
        for router in &mut self.routers {
            router.receive_read(self.trial.strategy, hot);
        }
        if self.trial.strategy == Strategy::Majority {
            self.count_votes(faults);
        }
        for router in &mut self.routers {
            if faults.is_instance_up(router.instance) {
                router.start_read(self.trial.strategy, faults, &self.platform_table, self.now);
                router.probe_servers(self.trial.strategy, faults, self.now);
            }
        }
    }

    /// Ends the rounds of votes of strategy (a') among the instances of each domain.
    fn count_votes(&mut self, faults: &FaultState) {
        for asker in 0..self.routers.len() {
            if !self.routers[asker].is_voting() {
                continue;
            }
            let own = self.routers[asker].table.revision();
            let is_same_domain = |router: &&Router| router.instance % DOMAINS == asker % DOMAINS;
            let voters = match self.trial.accepts_single_vote {
                true => 0,
                false => self.routers.iter().filter(is_same_domain).count(),
            };
            let reachable = self.routers.iter().filter(is_same_domain);
            let reachable = reachable.filter(|router| faults.can_reach(asker, router.instance));
            let known: Vec<_> = reachable.map(|router| router.table.revision()).collect();
            let newer = known.iter().any(|revision| *revision > own);
            self.routers[asker].receive_votes(known.len(), newer, voters);
        }
    }

    /// Steps the driver on the first instance that may lead; a new leader starts without state.
    fn run_leader<R: ProtocolRules>(&mut self, faults: &FaultState, driver: &mut Driver<R>) {
        let mut candidates = self.routers.iter().filter(|router| {
            let fresh = self.now - router.lease.read_started <= LEADER_READ_MAX_AGE;
            let runs =
                faults.is_instance_up(router.instance) && faults.reaches_platform(router.instance);
            runs && fresh && router.is_listed::<R>()
        });
        let Some(leader) = candidates.next().map(|router| router.instance) else {
            return;
        };
        if leader != driver.leader {
            let moved = driver.moved;
            *driver = Driver::new(leader);
            driver.moved = moved;
        }
        let state = (&mut self.platform_table, &mut self.routers[..]);
        driver.step(&self.trial, faults, &self.keys, state, self.now);
    }

    /// Load of the most loaded running server over the mean, in percent.
    fn imbalance(&self) -> u64 {
        let faults = FaultState::at(self.trial.scenario, self.now);
        let mut loads = server_loads(&self.platform_table, &self.keys);
        loads.retain(|name, _| faults.is_server_up(parse_number(name.id())));
        max_over_mean_percent(loads.into_values().collect())
    }
}

/// Ratio of the greatest load to the mean, in percent.
pub fn max_over_mean_percent(loads: Vec<u64>) -> u64 {
    let sum: u64 = loads.iter().sum();
    loads.iter().max().unwrap() * 100 * loads.len() as u64 / sum
}
