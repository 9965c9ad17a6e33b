//! A planner, the requests it hears of, and servers that carry out its orders.

use {
    citron_core::{
        id::ServerName,
        ranges::{
            Balance, BalanceLimits, Capacity, Demand, DemandWindows, EvenClock, KeyRange,
            LeaseBook, LeaseTimes, Order, OrderEnd, OwnerState, Owners, RangeKey, RangeMap,
            Reconciler, Scope,
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

const STEP: Duration = Duration::from_millis(10);
/// Reports of keys come so late at most.
const REPORT: Duration = Duration::from_millis(150);
/// The planner's pauses between looks, with and without results.
const TICK: Duration = Duration::from_millis(200);
const GAP: Duration = Duration::from_millis(20);
/// Orders and commits.
const ORDER: Duration = Duration::from_millis(10);
const COMMIT: Duration = Duration::from_millis(30);
/// Requests that wait at an overloaded server, besides those that run.
const QUEUE: usize = 16;
/// A range counts as spread once so much of its requests goes to servers that are not
/// overloaded. The rest is the keys with requests on them, which last.
const SPREAD: f64 = 0.75;
/// What a server is asked for, over what it can run, from which it is overloaded: a
/// quarter more makes a queue of a second within four.
const OVERLOAD: f64 = 1.25;
/// A hot range is given up after so long.
const LONGEST: Duration = Duration::from_secs(8);

/// A deployment, and the range that turns hot.
#[derive(Debug, Clone, Copy)]
pub struct Shape {
    pub servers: usize,
    pub slots: u32,
    pub run: Duration,
    /// Requests a second.
    pub requests: u32,
    pub things: u32,
    /// Things that turn hot, side by side.
    pub hot: u32,
    /// Their part of all requests.
    pub share: f64,
    pub limits: BalanceLimits,
}

/// Servers that are evacuated; all others serve.
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

pub struct World {
    shape: Shape,
    rng: ChaCha8Rng,
    now: Time,
    windows: DemandWindows,
    /// Requests that the planner has not heard of.
    unheard: Vec<(Time, RangeKey)>,
    reconciler: Reconciler,
    capacities: Vec<Capacity>,
    plan: Demand,
    ticked: Time,
    even: EvenClock,
    sudden: bool,
    /// Whether the store answers.
    pub answers: bool,
    orders: Vec<(Time, Order)>,
    /// The first thing of the hot range.
    hot: Option<u32>,
    /// A single thing that draws a part of all requests besides.
    pub single: Option<(u32, f64)>,
    evacuated: Evacuated,
    moved: u64,
}

impl World {
    /// A deployment whose keys have found owners, and lie evenly.
    pub fn new(shape: Shape, seed: u64) -> Self {
        let now = Time::from_micros(1_000_000);
        let capacity = |number: usize| Capacity {
            server: format!("s-{number:03}").parse().unwrap(),
            rate: f64::from(shape.slots) / shape.run.as_secs_f64(),
            takes: true,
        };
        let mut world = Self {
            shape,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now,
            windows: DemandWindows::default(),
            unheard: Vec::new(),
            reconciler: Reconciler::new(
                RangeMap::new(),
                LeaseBook::new(LeaseTimes::STANDARD, Time::ZERO),
            ),
            capacities: (0..shape.servers).map(capacity).collect(),
            plan: Demand::default(),
            ticked: now,
            even: EvenClock::new(now),
            sudden: false,
            answers: true,
            orders: Vec::new(),
            hot: None,
            single: None,
            evacuated: Evacuated::default(),
            moved: 0,
        };
        world.calm(Duration::from_secs(12));
        world
    }

    /// Lets time pass in which no range is hot.
    pub fn calm(&mut self, span: Duration) {
        self.hot = None;
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Makes a range hot; how long it takes until it is spread.
    pub fn hot_range(&mut self) -> Duration {
        let begun = self.now;
        self.hot = Some(self.rng.random_range(0..self.shape.things - self.shape.hot));
        self.until_spread(begun)
    }

    /// The same, and 300 ms later a single thing turns hot, too, that no server can
    /// run alone.
    pub fn hot_range_and_key(&mut self) -> Duration {
        let begun = self.now;
        self.hot = Some(self.rng.random_range(0..self.shape.things - self.shape.hot));
        while self.now - begun < Duration::from_millis(300) {
            self.step();
        }
        self.single = Some((self.rng.random_range(0..self.shape.things), 0.2));
        let spread = self.until_spread(begun);
        self.single = None;
        spread
    }

    fn until_spread(&mut self, begun: Time) -> Duration {
        while self.now - begun < LONGEST && self.overloaded() > 1.0 - SPREAD {
            self.step();
        }
        self.now - begun
    }

    /// Evacuates every third server; how long until others own all of their keys.
    pub fn evacuate(&mut self) -> Duration {
        let begun = self.now;
        let servers = self.capacities.iter().step_by(3);
        self.evacuated.0 = servers.map(|capacity| capacity.server.clone()).collect();
        let left = &self.evacuated.0;
        self.capacities
            .retain(|capacity| !left.contains(&capacity.server));
        self.ticked = Time::ZERO;
        while self.now - begun < LONGEST && self.are_owners_evacuated() {
            self.step();
        }
        self.now - begun
    }

    fn are_owners_evacuated(&self) -> bool {
        let mut owners = self.reconciler.map().slices().iter();
        owners.any(|slice| {
            let owner = slice.owner.as_ref();
            owner.is_some_and(|owner| self.evacuated.0.contains(owner))
        })
    }

    pub fn slices(&self) -> usize {
        self.reconciler.map().slices().len()
    }

    /// Keys that have changed hands so far.
    pub fn moved(&self) -> u64 {
        self.moved
    }

    /// The part of the hot requests that goes to servers which are asked for more
    /// than they can run.
    fn overloaded(&self) -> f64 {
        let Some(first) = self.hot else { return 0.0 };
        let hot = self.shape.share / f64::from(self.shape.hot);
        let cold = (1.0 - self.shape.share) / f64::from(KeyRange::ALL.len());
        let mut loads: BTreeMap<&ServerName, [f64; 2]> = BTreeMap::new();
        for slice in self.reconciler.map().slices() {
            let Some(owner) = &slice.owner else { continue };
            let of_owner = loads.entry(owner).or_default();
            of_owner[0] += f64::from(slice.range.len()) * cold;
        }
        for thing in first..first + self.shape.hot {
            let slice = self.reconciler.map().slice(self.key(thing));
            if let Some(owner) = &slice.owner {
                loads.entry(owner).or_default()[1] += hot;
            }
        }
        let rate = self.capacities[0].rate / f64::from(self.shape.requests);
        let over = loads
            .values()
            .filter(|[cold, hot]| cold + hot > rate * OVERLOAD);
        over.map(|[_, hot]| hot).sum::<f64>() / self.shape.share
    }

    fn key(&self, thing: u32) -> RangeKey {
        let keys = u64::from(KeyRange::ALL.len());
        RangeKey((u64::from(thing) * keys / u64::from(self.shape.things)) as u16)
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        self.request();
        self.report();
        let ended = self.end_orders();
        let pause = if ended { GAP } else { TICK };
        if self.now - self.ticked >= pause {
            self.tick();
        }
    }

    /// Instances report the keys that they were asked for, each at its own times.
    fn report(&mut self) {
        let now = self.now;
        let (heard, unheard): (Vec<_>, Vec<_>) =
            self.unheard.drain(..).partition(|(at, _)| *at <= now);
        self.unheard = unheard;
        for (_, key) in heard {
            self.windows.add(key, now);
        }
        if self.windows.look(now) {
            self.ticked = Time::ZERO;
            self.sudden = true;
        }
    }

    fn request(&mut self) {
        let count = f64::from(self.shape.requests) * STEP.as_secs_f64();
        let whole = count as u32 + u32::from(self.rng.random::<f64>() < count.fract());
        for _ in 0..whole {
            let single = self
                .single
                .filter(|(_, share)| self.rng.random_bool(*share));
            let thing = match self.hot {
                _ if single.is_some() => single.map_or(0, |(thing, _)| thing),
                Some(first) if self.rng.random::<f64>() < self.shape.share => {
                    first + self.rng.random_range(0..self.shape.hot)
                }
                _ => self.rng.random_range(0..self.shape.things),
            };
            let late = REPORT.mul_f64(self.rng.random());
            self.unheard.push((self.now + late, self.key(thing)));
        }
    }

    fn end_orders(&mut self) -> bool {
        let now = self.now;
        let (done, open): (Vec<_>, Vec<_>) =
            self.orders.drain(..).partition(|(end, _)| *end <= now);
        self.orders = open;
        let any = !done.is_empty();
        for (_, order) in done {
            if let Order::Release { range, .. } = &order {
                self.moved += u64::from(range.len());
            }
            let end = match &order {
                Order::Commit(_) if !self.answers => OrderEnd::Unknown,
                _ => OrderEnd::Done { handover: None },
            };
            self.reconciler.ended(&order, end, now);
        }
        any
    }

    fn tick(&mut self) {
        self.ticked = self.now;
        let sudden = std::mem::take(&mut self.sudden);
        let may = self.answers && !self.windows.is_settling(self.now);
        let even = self.even.is_due(sudden, may, self.now);
        if even {
            self.plan = self.windows.seen(self.now);
        }
        let mut balance = Balance::new(self.shape.limits, &self.capacities, &self.plan);
        let mut clock = StoreClock::default();
        clock.record(self.now, self.now, StoreTime(self.now.as_micros() / 1_000));
        let scope = Scope { deal: true, even };
        let due = self
            .reconciler
            .tick(self.now, &clock, &self.evacuated, &mut balance, scope);
        let releases = due
            .iter()
            .filter(|order| matches!(order, Order::Release { .. }));
        let busy = self.busy(releases.count());
        let mut busy = busy.into_iter();
        for order in due {
            let span = match &order {
                Order::Release { .. } => busy.next().flatten().unwrap_or(ORDER),
                Order::Commit(_) => COMMIT,
                Order::Grant(_) => ORDER,
            };
            self.orders.push((self.now + span, order));
        }
    }

    /// How long the requests last that are under way on released keys: those that
    /// run, and at an overloaded server those that wait behind them.
    fn busy(&mut self, releases: usize) -> Vec<Option<Duration>> {
        let most = self.shape.slots as usize + QUEUE;
        let run = self.shape.run;
        let mut busy: Vec<Option<Duration>> = (0..releases)
            .map(|at| (at < most).then(|| run.mul_f64(self.rng.random_range(0.1..2.5))))
            .collect();
        busy.shuffle(&mut self.rng);
        busy
    }
}
