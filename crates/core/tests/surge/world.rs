//! Simulation of a planner, the requests reported to it, and servers that execute its
//! orders.

use {
    citron_core::{
        id::ServerName,
        ranges::{
            BalanceLimits, BalanceTimer, Balancer, Capacity, Demand, DemandWindows, KeyRange,
            LeaseTimes, LeaseTracker, Order, OrderOutcome, OwnerState, Owners, PlanScope, RangeKey,
            RangeMap, Reconciler,
        },
        time::{StoreClock, StoreTime, Time},
    },
    rand::{Rng, SeedableRng, seq::SliceRandom},
    rand_chacha::ChaCha8Rng,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Simulated time per step.
const STEP: Duration = Duration::from_millis(10);
/// Longest delay of a report of requested keys.
const MAX_REPORT_DELAY: Duration = Duration::from_millis(150);
/// Interval between plans while no order completes.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between plans while orders complete.
const RESULT_INTERVAL: Duration = Duration::from_millis(20);
/// Duration of a grant, or of a release of keys without requests.
const ORDER_TIME: Duration = Duration::from_millis(10);
/// Duration of a commit.
const COMMIT_TIME: Duration = Duration::from_millis(30);
/// Requests that queue at an overloaded server, besides those that run.
const MAX_QUEUED: usize = 16;
/// Share of the hot requests that must reach servers without overload before a range
/// counts as spread. The rest are for keys whose release waits for requests in progress.
const SPREAD_SHARE: f64 = 0.75;
/// Requested load relative to capacity above which a server is overloaded: at 25% more, a
/// queue of one second builds up within four seconds.
const OVERLOAD_RATIO: f64 = 1.25;
/// Time after which a measurement gives up.
const MAX_DURATION: Duration = Duration::from_secs(8);

/// A deployment, and the range that turns hot.
#[derive(Debug, Clone, Copy)]
pub struct Shape {
    /// Number of servers.
    pub servers: usize,
    /// Concurrent requests that a server runs.
    pub slots: u32,
    /// Time that a request runs.
    pub run_time: Duration,
    /// Requests per second.
    pub requests: u32,
    /// Items, spread evenly over the key space.
    pub items: u32,
    /// Number of adjacent items that turn hot.
    pub hot_items: u32,
    /// Their share of all requests.
    pub hot_share: f64,
    pub limits: BalanceLimits,
}

/// Servers being evacuated; all others serve.
#[derive(Default)]
struct Evacuated(BTreeSet<ServerName>);

impl Owners for Evacuated {
    fn state(&self, server: &ServerName) -> OwnerState {
        match self.0.contains(server) {
            true => OwnerState::Leaving,
            false => OwnerState::Serving,
        }
    }
}

/// Simulation of a planner and its servers.
pub struct World {
    shape: Shape,
    rng: ChaCha8Rng,
    now: Time,
    windows: DemandWindows,
    /// Requests that have not been reported to the planner yet, by time of report.
    unreported: Vec<(Time, RangeKey)>,
    reconciler: Reconciler,
    capacities: Vec<Capacity>,
    planned_demand: Demand,
    last_tick: Time,
    balance_timer: BalanceTimer,
    has_changed: bool,
    /// Whether the store answers.
    pub is_store_up: bool,
    orders: Vec<(Time, Order)>,
    /// First item of the hot range.
    hot_range: Option<u32>,
    /// Single hot item besides the range, and its share of all requests.
    pub hot_item: Option<(u32, f64)>,
    evacuated: Evacuated,
    moved: u64,
}

impl World {
    /// Creates a deployment whose keys are assigned and balanced.
    pub fn new(shape: Shape, seed: u64) -> Self {
        let now = Time::from_micros(1_000_000);
        let capacity = |number: usize| Capacity {
            server: format!("s-{number:03}").parse().unwrap(),
            rate: f64::from(shape.slots) / shape.run_time.as_secs_f64(),
            accepts_keys: true,
        };
        let mut world = Self {
            shape,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now,
            windows: DemandWindows::default(),
            unreported: Vec::new(),
            reconciler: Reconciler::new(
                RangeMap::new(),
                LeaseTracker::new(LeaseTimes::STANDARD, Time::ZERO),
            ),
            capacities: (0..shape.servers).map(capacity).collect(),
            planned_demand: Demand::default(),
            last_tick: now,
            balance_timer: BalanceTimer::new(now),
            has_changed: false,
            is_store_up: true,
            orders: Vec::new(),
            hot_range: None,
            hot_item: None,
            evacuated: Evacuated::default(),
            moved: 0,
        };
        world.run_without_hot_range(Duration::from_secs(12));
        world
    }

    /// Advances the time without a hot range.
    pub fn run_without_hot_range(&mut self, span: Duration) {
        self.hot_range = None;
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Makes a range hot. Returns the time until it is spread.
    pub fn measure_hot_range(&mut self) -> Duration {
        let begun = self.now;
        self.hot_range = Some(
            self.rng
                .random_range(0..self.shape.items - self.shape.hot_items),
        );
        self.until_spread(begun)
    }

    /// Like [`Self::measure_hot_range`], but 300 ms later a single item turns hot as well
    /// that exceeds every server's capacity.
    pub fn measure_hot_range_and_key(&mut self) -> Duration {
        let begun = self.now;
        self.hot_range = Some(
            self.rng
                .random_range(0..self.shape.items - self.shape.hot_items),
        );
        while self.now - begun < Duration::from_millis(300) {
            self.step();
        }
        self.hot_item = Some((self.rng.random_range(0..self.shape.items), 0.2));
        let spread = self.until_spread(begun);
        self.hot_item = None;
        spread
    }

    fn until_spread(&mut self, begun: Time) -> Duration {
        while self.now - begun < MAX_DURATION && self.overloaded_share() > 1.0 - SPREAD_SHARE {
            self.step();
        }
        self.now - begun
    }

    /// Evacuates every third server. Returns the time until other servers own all of
    /// their keys.
    pub fn evacuate(&mut self) -> Duration {
        let begun = self.now;
        let servers = self.capacities.iter().step_by(3);
        self.evacuated.0 = servers.map(|capacity| capacity.server.clone()).collect();
        let leaving = &self.evacuated.0;
        self.capacities
            .retain(|capacity| !leaving.contains(&capacity.server));
        self.last_tick = Time::ZERO;
        while self.now - begun < MAX_DURATION && self.has_evacuated_owner() {
            self.step();
        }
        self.now - begun
    }

    /// Whether an evacuated server still owns keys.
    fn has_evacuated_owner(&self) -> bool {
        let mut owners = self.reconciler.map().slices().iter();
        owners.any(|slice| {
            let owner = slice.owner.as_ref();
            owner.is_some_and(|owner| self.evacuated.0.contains(owner))
        })
    }

    pub fn slices(&self) -> usize {
        self.reconciler.map().slices().len()
    }

    /// Number of keys moved so far.
    pub fn moved(&self) -> u64 {
        self.moved
    }

    /// Share of the hot requests that reach servers with more requests than they can run.
    fn overloaded_share(&self) -> f64 {
        let Some(first) = self.hot_range else {
            return 0.0;
        };
        let hot = self.shape.hot_share / f64::from(self.shape.hot_items);
        let cold = (1.0 - self.shape.hot_share) / f64::from(KeyRange::ALL.len());
        let mut loads: BTreeMap<&ServerName, [f64; 2]> = BTreeMap::new();
        for slice in self.reconciler.map().slices() {
            let Some(owner) = &slice.owner else { continue };
            let owner_load = loads.entry(owner).or_default();
            owner_load[0] += f64::from(slice.range.len()) * cold;
        }
        for item in first..first + self.shape.hot_items {
            let slice = self.reconciler.map().slice(self.key(item));
            if let Some(owner) = &slice.owner {
                loads.entry(owner).or_default()[1] += hot;
            }
        }
        let rate = self.capacities[0].rate / f64::from(self.shape.requests);
        let overloaded_loads = loads
            .values()
            .filter(|[cold, hot]| cold + hot > rate * OVERLOAD_RATIO);
        overloaded_loads.map(|[_, hot]| hot).sum::<f64>() / self.shape.hot_share
    }

    fn key(&self, item: u32) -> RangeKey {
        let keys = u64::from(KeyRange::ALL.len());
        RangeKey((u64::from(item) * keys / u64::from(self.shape.items)) as u16)
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        self.request();
        self.report();
        let ended = self.end_orders();
        let pause = if ended {
            RESULT_INTERVAL
        } else {
            PLAN_INTERVAL
        };
        if self.now - self.last_tick >= pause {
            self.tick();
        }
    }

    /// Delivers the reports of instances, each after its own delay.
    fn report(&mut self) {
        let now = self.now;
        let (reported, unreported): (Vec<_>, Vec<_>) =
            self.unreported.drain(..).partition(|(at, _)| *at <= now);
        self.unreported = unreported;
        for (_, key) in reported {
            self.windows.add(key, now);
        }
        if self.windows.detect_change(now) {
            self.last_tick = Time::ZERO;
            self.has_changed = true;
        }
    }

    fn request(&mut self) {
        let count = f64::from(self.shape.requests) * STEP.as_secs_f64();
        let request_count = count as u32 + u32::from(self.rng.random::<f64>() < count.fract());
        for _ in 0..request_count {
            let hot_item = self
                .hot_item
                .filter(|(_, share)| self.rng.random_bool(*share));
            let item = match self.hot_range {
                _ if hot_item.is_some() => hot_item.map_or(0, |(item, _)| item),
                Some(first) if self.rng.random::<f64>() < self.shape.hot_share => {
                    first + self.rng.random_range(0..self.shape.hot_items)
                }
                _ => self.rng.random_range(0..self.shape.items),
            };
            let delay = MAX_REPORT_DELAY.mul_f64(self.rng.random());
            self.unreported.push((self.now + delay, self.key(item)));
        }
    }

    /// Completes the orders that are due. Returns whether there were any.
    fn end_orders(&mut self) -> bool {
        let now = self.now;
        let (due, pending): (Vec<_>, Vec<_>) =
            self.orders.drain(..).partition(|(end, _)| *end <= now);
        self.orders = pending;
        let has_due = !due.is_empty();
        for (_, order) in due {
            if let Order::Release { range, .. } = &order {
                self.moved += u64::from(range.len());
            }
            let outcome = match &order {
                Order::Commit(_) if !self.is_store_up => OrderOutcome::Unknown,
                _ => OrderOutcome::Done { handover: None },
            };
            self.reconciler.complete(&order, outcome, now);
        }
        has_due
    }

    fn tick(&mut self) {
        self.last_tick = self.now;
        let has_changed = std::mem::take(&mut self.has_changed);
        let is_allowed = self.is_store_up && !self.windows.is_settling(self.now);
        let may_rebalance = self.balance_timer.is_due(has_changed, is_allowed, self.now);
        if may_rebalance {
            self.planned_demand = self.windows.snapshot(self.now);
        }
        let mut balancer = Balancer::new(self.shape.limits, &self.capacities, &self.planned_demand);
        let mut clock = StoreClock::default();
        clock.record(self.now, self.now, StoreTime(self.now.as_micros() / 1_000));
        let scope = PlanScope {
            may_assign: true,
            may_rebalance,
        };
        let due = self
            .reconciler
            .tick(self.now, &clock, &self.evacuated, &mut balancer, scope);
        let releases = due
            .iter()
            .filter(|order| matches!(order, Order::Release { .. }));
        let release_delays = self.release_delays(releases.count());
        let mut release_delays = release_delays.into_iter();
        for order in due {
            let span = match &order {
                Order::Release { .. } => release_delays.next().flatten().unwrap_or(ORDER_TIME),
                Order::Commit(_) => COMMIT_TIME,
                Order::Grant { .. } | Order::Probe { .. } => ORDER_TIME,
            };
            self.orders.push((self.now + span, order));
        }
    }

    /// Times until the requests on released keys end: requests that run, and at an
    /// overloaded server those queued behind them.
    fn release_delays(&mut self, releases: usize) -> Vec<Option<Duration>> {
        let max_requests = self.shape.slots as usize + MAX_QUEUED;
        let run_time = self.shape.run_time;
        let mut release_delays: Vec<Option<Duration>> = (0..releases)
            .map(|at| {
                (at < max_requests).then(|| run_time.mul_f64(self.rng.random_range(0.1..2.5)))
            })
            .collect();
        release_delays.shuffle(&mut self.rng);
        release_delays
    }
}
