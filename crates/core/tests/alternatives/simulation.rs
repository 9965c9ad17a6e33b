//! A run of one way in one scenario, under the production rules.

use {
    super::{
        cluster::{self, Keys, edit, number, put},
        driver::{Driver, loads},
        router::{READ_PAUSE, Router},
        scenario::{DOMAINS, FAULT, Net, Scenario},
        stats::{Routes, Stats},
        strategy::{Trial, Way},
    },
    citron_core::{ownership::ProtocolRules, table::Table, time::Time},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{rc::Rc, time::Duration},
};

/// A commit, a read, a probe or a word to another instance takes one step.
pub const STEP: Duration = Duration::from_millis(100);
/// An instance whose last read is older leaves planning to the next.
const LEAD_FOR: Duration = Duration::from_millis(1_200);
/// Of the phases of the instances' reads.
pub const SEED: u64 = 4;

pub struct World {
    trial: Trial,
    now: Time,
    head: Rc<Table>,
    routers: Vec<Router>,
    keys: Keys,
}

impl Routes for World {
    fn owner(&self, instance: usize, scope: usize) -> Option<usize> {
        self.routers[instance].owner(scope)
    }

    fn may(&self, instance: usize, server: usize) -> bool {
        self.routers[instance].may(&self.trial, server, self.now)
    }
}

impl World {
    fn new(trial: Trial) -> Self {
        let instances = trial.way.instances();
        let head = cluster::table(instances, trial.grace);
        let mut random = ChaCha8Rng::seed_from_u64(SEED);
        let routers = (0..instances).map(|instance| {
            let phase = random.random_range(0..READ_PAUSE.as_millis() as u64);
            Router::new(instance, &head, Duration::from_millis(phase))
        });
        Self {
            trial,
            now: Time::ZERO,
            routers: routers.collect(),
            head,
            keys: Keys::new(),
        }
    }

    pub fn run<R: ProtocolRules>(trial: Trial) -> Stats {
        let mut world = Self::new(trial);
        let mut driver = Driver::<R>::new(0);
        let mut stats = Stats::new();
        let mut settled = 0;
        let mut edited = false;
        let end = Time::ZERO + FAULT + trial.scenario.lasts();
        while world.now < end {
            let net = Net::at(trial.scenario, world.now);
            if net.begun() && !edited {
                edited = true;
                settled = driver.moved;
                world.edit();
            }
            world.step_routers(&net);
            world.lead(&net, &mut driver);
            if net.begun() {
                stats.count(&world, trial.way, &net, &world.keys, STEP);
            }
            world.now = world.now + STEP;
        }
        stats.moved = driver.moved - settled;
        stats.imbalance = world.imbalance();
        stats
    }

    fn edit(&mut self) {
        if let Some(row) = edit(self.trial.scenario) {
            put(&mut self.head, [(row.key(), Some(row))].into_iter());
        }
        if self.trial.scenario == Scenario::HotKey {
            self.keys.turn_hot();
        }
    }

    fn step_routers(&mut self, net: &Net) {
        let hot = self.keys.hot;
        for router in &mut self.routers {
            router.hear(self.trial.way, hot);
        }
        if self.trial.way == Way::Majority {
            self.vote(net);
        }
        for router in &mut self.routers {
            if net.instance_up(router.instance) {
                router.ask(self.trial.way, net, &self.head, self.now);
                router.probe(self.trial.way, net, self.now);
            }
        }
    }

    /// The rounds of way (a'), among the instances of each domain.
    fn vote(&mut self, net: &Net) {
        for asker in 0..self.routers.len() {
            if !self.routers[asker].votes_due() {
                continue;
            }
            let own = self.routers[asker].table.revision();
            let same = |router: &&Router| router.instance % DOMAINS == asker % DOMAINS;
            let most = match self.trial.lone {
                true => 0,
                false => self.routers.iter().filter(same).count(),
            };
            let up = self.routers.iter().filter(same);
            let up = up.filter(|router| net.hears(asker, router.instance));
            let known: Vec<_> = up.map(|router| router.table.revision()).collect();
            let newer = known.iter().any(|revision| *revision > own);
            self.routers[asker].hear_votes(known.len(), newer, most);
        }
    }

    fn lead<R: ProtocolRules>(&mut self, net: &Net, driver: &mut Driver<R>) {
        let mut able = self.routers.iter().filter(|router| {
            let fresh = self.now - router.leave.read_started <= LEAD_FOR;
            let runs = net.instance_up(router.instance) && net.platform(router.instance);
            runs && fresh && router.is_listed::<R>()
        });
        let Some(leader) = able.next().map(|router| router.instance) else {
            return;
        };
        if leader != driver.leader {
            let moved = driver.moved;
            *driver = Driver::new(leader);
            driver.moved = moved;
        }
        let state = (&mut self.head, &mut self.routers[..]);
        driver.step(&self.trial, net, &self.keys, state, self.now);
    }

    /// Load of the fullest running server over the mean, in percent.
    fn imbalance(&self) -> u64 {
        let net = Net::at(self.trial.scenario, self.now);
        let mut loads = loads(&self.head, &self.keys);
        loads.retain(|name, _| net.server_up(number(name.id())));
        percent(loads.into_values().collect())
    }
}

/// The greatest over the mean, in percent.
pub fn percent(loads: Vec<u64>) -> u64 {
    let sum: u64 = loads.iter().sum();
    loads.iter().max().unwrap() * 100 * loads.len() as u64 / sum
}
