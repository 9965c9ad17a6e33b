//! One server, its callers and its brokers in virtual time. Messages take 0.3 to 2 ms,
//! some 10 ms.

use {
    citron_core::{
        dispatch::ReportedLoad,
        id::Slots,
        slots::{CallerAges, SlotAnswer, SlotBroker, SlotOutcome, SlotRequest},
        time::Time,
    },
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// A server and the load on it. Times are in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub slots: u32,
    pub server_queue: usize,
    pub run: f64,
    pub objective: f64,
    pub timeout: f64,
    /// Arrivals as a multiple of the server's capacity.
    pub demand: f64,
    /// Share of the arrivals that have priority 1 instead of 0.
    pub low_priority: f64,
    /// Instances; callers arrive in turn at each of them.
    pub instances: usize,
    /// Arrivals at the server from elsewhere, as a multiple of its capacity.
    pub others: f64,
    /// Every two seconds the server is three times as slow for 0.4 s.
    pub slow_phases: bool,
    pub reports_load: bool,
    /// Share of the releases that are lost.
    pub lost_releases: f64,
    /// Brokers; those beyond the first are asked from 2 s to 6 s only.
    pub brokers: usize,
    pub seconds: u32,
    pub seed: u64,
}

/// Time of a response to the caller, which its objective includes.
const RESPONSE_TRAVEL: f64 = 3.0;

/// Deployment A during a burst.
pub const VIEWS: Load = Load {
    slots: 4,
    server_queue: 16,
    run: 120.0,
    objective: 500.0,
    timeout: 3_000.0,
    demand: 1.6,
    low_priority: 0.0,
    instances: 62,
    others: 0.0,
    slow_phases: false,
    reports_load: true,
    lost_releases: 0.0,
    brokers: 1,
    seconds: 60,
    seed: 1,
};

/// Deployment B during a burst.
pub const LOOKUPS: Load = Load {
    slots: 6,
    server_queue: 24,
    run: 300.0,
    objective: 1_000.0,
    timeout: 6_000.0,
    reports_load: false,
    ..VIEWS
};

#[derive(Debug, Default, Clone)]
pub struct Outcome {
    /// Requests that were granted in time to meet their objective, and met it or not.
    pub met: u32,
    pub missed: u32,
    /// Granted requests whose objective had passed or could not be met.
    pub late: u32,
    pub denied: u32,
    pub refused: u32,
    /// Requests that met their objective, by priority.
    pub met_by_priority: [u32; 2],
    /// Slot time used, from 0 to 1.
    pub utilisation: f64,
    /// Most requests that waited at the server.
    pub server_queue_max: usize,
    /// Requests that were denied after they had been queued.
    pub denied_after_queue: u32,
}

impl Outcome {
    /// Share of the completed requests that met their objective.
    pub fn met_share(&self) -> f64 {
        f64::from(self.met) / f64::from(self.completed().max(1))
    }

    /// The same among the requests that could meet it when they were granted.
    pub fn in_time_share(&self) -> f64 {
        f64::from(self.met) / f64::from((self.met + self.missed).max(1))
    }

    /// Completed requests of the broker.
    pub fn completed(&self) -> u32 {
        self.met + self.missed + self.late
    }
}

#[derive(Debug)]
enum Event {
    Arrive,
    ArriveElsewhere,
    Ask(Caller),
    Request(u64),
    AtServer(u64),
    Done(u64),
    Release(u64),
    Tick,
}

#[derive(Debug, Clone, Copy)]
struct Caller {
    priority: u32,
    arrived: f64,
    tries: u32,
}

/// One try of a caller.
#[derive(Debug, Clone, Copy)]
struct Attempt {
    caller: Caller,
    broker: usize,
    was_queued: bool,
    is_late: bool,
    sent: f64,
    outcome: SlotOutcome,
}

pub struct World {
    load: Load,
    rng: ChaCha8Rng,
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    /// Milliseconds since the start.
    now: f64,
    brokers: Vec<SlotBroker<u64>>,
    ages: Vec<CallerAges>,
    attempts: BTreeMap<u64, Attempt>,
    running: u32,
    waiting: VecDeque<u64>,
    outcome: Outcome,
}

/// Ids from here on are requests from elsewhere.
const ELSEWHERE: u64 = 1 << 40;

impl World {
    pub fn run(load: Load) -> Outcome {
        let mut world = Self {
            load,
            rng: ChaCha8Rng::seed_from_u64(load.seed),
            events: BTreeMap::new(),
            sequence: 0,
            now: 0.0,
            brokers: (0..load.brokers).map(|_| SlotBroker::default()).collect(),
            ages: (0..load.instances).map(|_| CallerAges::default()).collect(),
            attempts: BTreeMap::new(),
            running: 0,
            waiting: VecDeque::new(),
            outcome: Outcome::default(),
        };
        for ages in &mut world.ages {
            ages.observe("views", millis(load.timeout), Time::ZERO);
        }
        world.after(0.0, Event::Arrive);
        world.after(0.0, Event::Tick);
        if load.others > 0.0 {
            world.after(0.0, Event::ArriveElsewhere);
        }
        let end = f64::from(load.seconds) * 1e3;
        while world.now < end
            && let Some(((at, _), event)) = world.events.pop_first()
        {
            world.now = at as f64 / 1e3;
            world.handle(event);
        }
        world.outcome.utilisation /= f64::from(load.slots) * end;
        world.outcome
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => {
                let gap = self.gap(self.load.demand);
                self.after(gap, Event::Arrive);
                let priority = u32::from(self.rng.random_bool(self.load.low_priority));
                self.ask(Caller {
                    priority,
                    arrived: self.now,
                    tries: 0,
                });
            }
            Event::ArriveElsewhere => {
                let gap = self.gap(self.load.others);
                self.after(gap, Event::ArriveElsewhere);
                self.at_server(ELSEWHERE + self.sequence);
            }
            Event::Ask(caller) => self.ask(caller),
            Event::Request(id) => self.request(id),
            Event::AtServer(id) => self.at_server(id),
            Event::Done(id) => self.done(id),
            Event::Release(id) => {
                if let Some(attempt) = self.attempts.remove(&id) {
                    let now = self.time();
                    let broker = &mut self.brokers[attempt.broker];
                    let answers = broker.release(&id, attempt.outcome, now);
                    self.deliver(answers);
                }
            }
            Event::Tick => {
                self.after(20.0, Event::Tick);
                let now = self.time();
                for broker in 0..self.brokers.len() {
                    let answers = self.brokers[broker].expire(now);
                    self.deliver(answers);
                }
            }
        }
    }

    fn ask(&mut self, caller: Caller) {
        let split = (2_000.0..6_000.0).contains(&self.now);
        let brokers = if split { self.load.brokers } else { 1 };
        let id = self.sequence;
        let attempt = Attempt {
            caller,
            broker: id as usize % brokers,
            was_queued: false,
            is_late: false,
            sent: 0.0,
            outcome: SlotOutcome::Unused,
        };
        self.attempts.insert(id, attempt);
        let travel = self.travel();
        self.after(travel, Event::Request(id));
    }

    fn request(&mut self, id: u64) {
        let Attempt { caller, broker, .. } = self.attempts[&id];
        let now = self.time();
        let deadline = millis(caller.arrived + self.load.timeout - self.now);
        let instance = id as usize % self.load.instances;
        let waited = self.ages[instance].observe("views", deadline, now);
        let request = SlotRequest {
            server: "s-1".parse().unwrap(),
            slots: Slots(self.load.slots),
            priority: caller.priority,
            objective: millis(self.load.objective).saturating_sub(waited),
            deadline,
        };
        let random = self.rng.random();
        let answers = self.brokers[broker].request(id, request, now, random);
        self.deliver(answers);
    }

    fn deliver(&mut self, answers: Vec<(u64, SlotAnswer)>) {
        for (id, answer) in answers {
            let travel = self.travel();
            let Some(attempt) = self.attempts.get_mut(&id) else {
                continue;
            };
            match answer {
                SlotAnswer::Granted => {
                    let left = attempt.caller.arrived + self.load.objective - self.now;
                    attempt.is_late = left < self.load.run;
                    attempt.sent = self.now + travel;
                    let travel = travel + self.travel();
                    self.after(travel, Event::AtServer(id));
                }
                SlotAnswer::Queued(_) => attempt.was_queued = true,
                SlotAnswer::Denied { retry_after, .. } => {
                    self.outcome.denied_after_queue += u32::from(attempt.was_queued);
                    let caller = attempt.caller;
                    self.attempts.remove(&id);
                    self.reject(caller, travel, retry_after);
                }
            }
        }
    }

    /// The caller retries twice, each time within a third of its time left.
    fn reject(&mut self, caller: Caller, travel: f64, retry_after: Duration) {
        self.outcome.denied += 1;
        let tries = caller.tries + 1;
        if tries <= 2 {
            let left = caller.arrived + self.load.timeout - self.now;
            let wait = (retry_after.as_secs_f64() * 1e3).min(left / 3.0);
            self.after(travel + wait, Event::Ask(Caller { tries, ..caller }));
        }
    }

    fn at_server(&mut self, id: u64) {
        if self.running < self.load.slots {
            self.start(id);
        } else if self.waiting.len() < self.load.server_queue {
            self.waiting.push_back(id);
            let waiting = self.waiting.len();
            self.outcome.server_queue_max = self.outcome.server_queue_max.max(waiting);
        } else if id < ELSEWHERE {
            self.outcome.refused += 1;
            let load = self.reported_load();
            self.end(id, SlotOutcome::Refused { load });
            let caller = self.attempts[&id].caller;
            self.reject(caller, 0.0, millis(200.0));
        }
    }

    fn start(&mut self, id: u64) {
        self.running += 1;
        let normal: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        // With one in fifty 5 times as long, the mean is 1.08 times the usual run time.
        let long = if self.rng.random_bool(0.02) { 5.0 } else { 1.0 };
        let usual = self.load.run / 1.08 * self.slowdown();
        let run = usual * (1.0 + 0.3 * normal).max(0.2) * long;
        self.outcome.utilisation += run;
        self.after(run, Event::Done(id));
    }

    fn done(&mut self, id: u64) {
        self.running -= 1;
        if let Some(next) = self.waiting.pop_front() {
            self.start(next);
        }
        let Some(&Attempt {
            caller,
            is_late,
            sent,
            ..
        }) = self.attempts.get(&id)
        else {
            return;
        };
        let is_met = self.now + RESPONSE_TRAVEL <= caller.arrived + self.load.objective;
        self.outcome.met_by_priority[caller.priority as usize] += u32::from(is_met);
        match (is_late, is_met) {
            (true, _) => self.outcome.late += 1,
            (false, true) => self.outcome.met += 1,
            (false, false) => self.outcome.missed += 1,
        }
        let span = millis(self.now - sent + 1.0);
        let load = self.reported_load();
        self.end(id, SlotOutcome::Ran { span, load });
    }

    fn end(&mut self, id: u64, outcome: SlotOutcome) {
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.outcome = outcome;
        }
        if !self.rng.random_bool(self.load.lost_releases) {
            let travel = 2.0 * self.travel();
            self.after(travel, Event::Release(id));
        }
    }

    fn slowdown(&self) -> f64 {
        match self.load.slow_phases && self.now % 2_000.0 > 1_600.0 {
            true => 3.0,
            false => 1.0,
        }
    }

    fn reported_load(&self) -> Option<ReportedLoad> {
        self.load.reports_load.then_some(ReportedLoad {
            running: self.running,
            waiting: self.waiting.len() as u32,
            slots: Slots(self.load.slots),
            slowdown: self.slowdown(),
        })
    }

    fn after(&mut self, delay: f64, event: Event) {
        self.sequence += 1;
        let at = ((self.now + delay) * 1e3) as u64;
        self.events.insert((at, self.sequence), event);
    }

    /// Time of one message.
    fn travel(&mut self) -> f64 {
        match self.rng.random_bool(0.02) {
            true => 10.0,
            false => self.rng.random_range(0.3..2.0),
        }
    }

    /// Time until the next arrival at a multiple of the capacity.
    fn gap(&mut self, demand: f64) -> f64 {
        let mean = self.load.run / f64::from(self.load.slots) / demand;
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    fn time(&self) -> Time {
        Time::ZERO + millis(self.now)
    }
}

fn millis(millis: f64) -> Duration {
    Duration::from_secs_f64(millis.max(0.0) / 1e3)
}
