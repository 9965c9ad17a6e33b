//! Ten instances before one backend server, in virtual time.

use {
    crate::stats::Stats,
    citron_core::{
        admission::{
            Admission, Demand, Gate, GateConfig, Release, SlotShare, Ticket, Turn, even_share,
            shares,
        },
        id::Slots,
        routing::{
            Attempt, BudgetConfig, Event, Point, Reason, RequestBody, RequestKind, Retries, Step,
            Try,
        },
        time::Time,
    },
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{cmp::Reverse, collections::BinaryHeap, collections::VecDeque, time::Duration},
};

/// One way between an instance and the server.
const WAY: Duration = Duration::from_micros(250);
/// Added to the server's next work for each refusal.
const REFUSAL_WORK: Duration = Duration::from_micros(500);
/// Work of a request: a fixed part and an exponential one.
const WORK_FIXED: f64 = 0.005;
const WORK_RANDOM: f64 = 0.015;
const EXCHANGE: Duration = Duration::from_millis(200);
const INSTANCES: usize = 10;
/// Callers come to the instances in these proportions, turned by one each 10 s.
const WEIGHTS: [f64; INSTANCES] = [6.0, 4.0, 2.0, 2.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0];
const TURN: f64 = 10.0;

#[derive(Debug, Clone, Copy)]
pub struct Plan {
    pub slots: u32,
    /// Offered load over capacity.
    pub load: f64,
    pub gate: GateConfig,
    /// The share before and without exchanges; `None` for the even part.
    pub share: Option<f64>,
    pub exchange: bool,
    pub budget: BudgetConfig,
    /// Requests the server keeps waiting before it refuses.
    pub backlog: usize,
    /// Time a try may take before it is given up for a retry.
    pub progress: Option<Duration>,
    /// How often a caller sends a failed request again, a second apart.
    pub resends: u32,
    /// What is sent or answered then is lost without a sign.
    pub outage: Option<(Time, Time)>,
    pub end: Time,
    pub seed: u64,
}

impl Plan {
    pub fn capacity(&self) -> f64 {
        f64::from(self.slots) / (WORK_FIXED + WORK_RANDOM)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Ev {
    Arrive,
    Resend { instance: usize, left: u32 },
    Reach(usize, Try),
    Worked(usize, Try),
    Reply(usize, Try, Ending),
    Retry(usize, Try),
    Progress(usize, Try),
    Deadline(usize),
    Wake(usize),
    Exchange,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Ending {
    Answered,
    Refused,
}

#[derive(Debug, PartialEq, Eq)]
enum Place {
    Queue,
    Server { no: Try, since: Time },
    Backoff,
    Over,
}

struct Request {
    instance: usize,
    born: Time,
    deadline: Time,
    attempt: Attempt,
    no: Try,
    place: Place,
    resends: u32,
}

pub struct Bench {
    plan: Plan,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64, Ev)>>,
    order: u64,
    gates: Vec<Gate>,
    retries: Vec<Retries>,
    requests: Vec<Request>,
    running: u32,
    backlog: VecDeque<(usize, Try)>,
    extra: Duration,
    /// Refused by the server and not back at a gate yet.
    backing_off: usize,
    random: ChaCha8Rng,
    pub stats: Stats,
}

impl Bench {
    pub fn run(plan: Plan) -> Stats {
        let share = plan.share.map(SlotShare::new);
        let share = share.unwrap_or(even_share(Slots(plan.slots), INSTANCES));
        let gate = |_| Gate::new(plan.gate, share, Time::ZERO);
        let retries = |i| Retries::new(plan.budget, plan.seed + i as u64);
        let mut bench = Self {
            now: Time::ZERO,
            events: BinaryHeap::new(),
            order: 0,
            gates: (0..INSTANCES).map(gate).collect(),
            retries: (0..INSTANCES).map(retries).collect(),
            requests: Vec::new(),
            running: 0,
            backlog: VecDeque::new(),
            extra: Duration::ZERO,
            backing_off: 0,
            random: ChaCha8Rng::seed_from_u64(plan.seed),
            stats: Stats::new(INSTANCES, plan.slots, plan.capacity()),
            plan,
        };
        bench.at(Duration::ZERO, Ev::Arrive);
        bench.at(EXCHANGE, Ev::Exchange);
        while let Some(Reverse((time, _, event))) = bench.events.pop() {
            if time > plan.end {
                break;
            }
            bench.advance(time);
            bench.handle(event);
        }
        bench.stats
    }

    fn at(&mut self, after: Duration, event: Ev) {
        self.order += 1;
        self.events
            .push(Reverse((self.now + after, self.order, event)));
    }

    /// Counts the slots that were idle while requests waited since the last event.
    fn advance(&mut self, time: Time) {
        let waiting: usize = self.gates.iter().map(Gate::waiting).sum();
        let waiting = waiting + self.backing_off;
        let idle = (self.plan.slots - self.running).min(waiting as u32);
        self.stats.idle(idle, time - self.now, time);
        self.now = time;
    }

    fn handle(&mut self, event: Ev) {
        match event {
            Ev::Arrive => self.arrive(),
            Ev::Resend { instance, left } => self.request(instance, left),
            Ev::Reach(id, no) => self.reach(id, no),
            Ev::Worked(id, no) => self.worked(id, no),
            Ev::Reply(id, no, ending) => self.reply(id, no, ending),
            Ev::Retry(id, no) => self.retry(id, no),
            Ev::Progress(id, no) => self.gave_up(id, no),
            Ev::Deadline(id) => self.deadline(id),
            Ev::Wake(instance) => self.drain(instance),
            Ev::Exchange => self.exchange(),
        }
    }

    fn arrive(&mut self) {
        let rate = self.plan.load * self.plan.capacity();
        let gap = -self.random.random_range(f64::MIN_POSITIVE..1.0).ln() / rate;
        self.at(Duration::from_secs_f64(gap), Ev::Arrive);
        let turn = (self.now.as_micros() as f64 / 1e6 / TURN) as usize;
        let mut point = self.random.random_range(0.0..WEIGHTS.iter().sum());
        let found = WEIGHTS.iter().position(|weight| {
            point -= weight;
            point < 0.0
        });
        let instance = (found.unwrap_or(0) + turn) % INSTANCES;
        self.stats.offered(instance, self.now);
        self.request(instance, self.plan.resends);
    }

    fn request(&mut self, instance: usize, resends: u32) {
        let id = self.requests.len();
        let deadline = self.now + Duration::from_secs(1);
        let kind = RequestKind {
            idempotent: true,
            body: RequestBody::Kept,
            deadline,
        };
        self.requests.push(Request {
            instance,
            born: self.now,
            deadline,
            attempt: Attempt::new(kind, &mut self.retries[instance]),
            no: Try(0),
            place: Place::Over,
            resends,
        });
        self.at(Duration::from_secs(1), Ev::Deadline(id));
        self.enter(id);
    }

    fn enter(&mut self, id: usize) {
        let (instance, deadline) = (self.requests[id].instance, self.requests[id].deadline);
        let ticket = Ticket(id as u64);
        match self.gates[instance].arrive(ticket, deadline, self.now) {
            Admission::Start => self.start(id),
            Admission::Queued => self.requests[id].place = Place::Queue,
            Admission::Shed { reason, wait } => self.step(id, Event::Denied { reason, wait }),
        }
        self.arm(instance);
    }

    fn start(&mut self, id: usize) {
        if self.requests[id].no == Try(0) {
            self.step(id, Event::Admitted);
        } else {
            self.send(id, self.requests[id].no);
        }
    }

    fn step(&mut self, id: usize, event: Event) {
        let request = &mut self.requests[id];
        let retries = &mut self.retries[request.instance];
        match request.attempt.step(event, self.now, retries) {
            Step::Send(send) if send.after.is_zero() => {
                request.no = send.no;
                self.send(id, send.no);
            }
            Step::Send(send) => {
                request.no = send.no;
                request.place = Place::Backoff;
                self.backing_off += 1;
                self.at(send.after, Ev::Retry(id, send.no));
            }
            Step::Answer(_) => self.failed(id),
            Step::Forward(_) => {
                request.place = Place::Over;
                let latency = self.now - request.born;
                self.stats.good(request.instance, latency, self.now);
            }
            _ => {}
        }
    }

    fn failed(&mut self, id: usize) {
        let request = &mut self.requests[id];
        request.place = Place::Over;
        self.stats.refused(self.now);
        if request.resends > 0 {
            let (instance, left) = (request.instance, request.resends - 1);
            self.at(Duration::from_secs(1), Ev::Resend { instance, left });
        }
    }

    fn send(&mut self, id: usize, no: Try) {
        self.requests[id].place = Place::Server {
            no,
            since: self.now,
        };
        self.at(WAY, Ev::Reach(id, no));
        if let Some(progress) = self.plan.progress {
            self.at(progress, Ev::Progress(id, no));
        }
    }

    fn is_down(&self) -> bool {
        let outage = self.plan.outage;
        outage.is_some_and(|(from, to)| (from..to).contains(&self.now))
    }

    fn reach(&mut self, id: usize, no: Try) {
        if self.is_down() {
            return;
        }
        if self.running < self.plan.slots {
            self.work(id, no);
        } else if self.backlog.len() < self.plan.backlog {
            self.backlog.push_back((id, no));
        } else {
            self.extra += REFUSAL_WORK;
            self.stats.server_refused(self.now);
            self.at(WAY, Ev::Reply(id, no, Ending::Refused));
        }
    }

    fn work(&mut self, id: usize, no: Try) {
        self.running += 1;
        let random = -self.random.random_range(f64::MIN_POSITIVE..1.0).ln();
        let work = Duration::from_secs_f64(WORK_FIXED + WORK_RANDOM * random);
        let work = work + std::mem::take(&mut self.extra);
        self.at(work, Ev::Worked(id, no));
    }

    /// The server does not notice that a caller is gone: the worst case.
    fn worked(&mut self, id: usize, no: Try) {
        self.running -= 1;
        if !self.is_down() {
            self.at(WAY, Ev::Reply(id, no, Ending::Answered));
        }
        if let Some((id, no)) = self.backlog.pop_front() {
            self.work(id, no);
        }
    }

    fn reply(&mut self, id: usize, no: Try, ending: Ending) {
        let release = match ending {
            Ending::Answered => Release::Answered,
            Ending::Refused => Release::Refused,
        };
        if !self.release(id, no, release) {
            return;
        }
        self.requests[id].place = Place::Over;
        let wait = None;
        match ending {
            Ending::Answered => self.step(id, Event::Answered(no)),
            Ending::Refused => self.step(id, Event::Refused { no, wait }),
        }
        self.drain(self.requests[id].instance);
    }

    /// Frees the slot that a try holds; `false` if it was freed before.
    fn release(&mut self, id: usize, no: Try, release: Release) -> bool {
        let request = &self.requests[id];
        let Place::Server { no: open, since } = request.place else {
            return false;
        };
        if open != no {
            return false;
        }
        self.gates[request.instance].end(release, self.now - since, self.now);
        true
    }

    fn retry(&mut self, id: usize, no: Try) {
        if self.requests[id].place == Place::Backoff && self.requests[id].no == no {
            self.backing_off -= 1;
            self.enter(id);
        }
    }

    fn gave_up(&mut self, id: usize, no: Try) {
        if !self.release(id, no, Release::TimedOut) {
            return;
        }
        self.requests[id].place = Place::Over;
        self.step(id, Event::TimedOut(no, Point::Written));
        self.drain(self.requests[id].instance);
    }

    fn deadline(&mut self, id: usize) {
        let request = &self.requests[id];
        let (instance, deadline) = (request.instance, request.deadline);
        let mut event = Event::Denied {
            reason: Reason::TimedOut,
            wait: Duration::from_secs(1),
        };
        match request.place {
            Place::Over => return,
            Place::Queue => self.gates[instance].leave(Ticket(id as u64), deadline),
            Place::Server { no, .. } => {
                self.release(id, no, Release::TimedOut);
                event = Event::TimedOut(no, Point::Written);
            }
            Place::Backoff => self.backing_off -= 1,
        }
        self.step(id, event);
        self.drain(instance);
    }

    fn drain(&mut self, instance: usize) {
        while let Some(turn) = self.gates[instance].next(self.now) {
            match turn {
                Turn::Start(Ticket(id)) => self.start(id as usize),
                Turn::Shed { ticket, wait } => {
                    let reason = Reason::Overloaded;
                    self.step(ticket.0 as usize, Event::Denied { reason, wait });
                }
            }
        }
        self.arm(instance);
    }

    fn arm(&mut self, instance: usize) {
        if let Some(time) = self.gates[instance].wake(self.now) {
            self.at(time - self.now, Ev::Wake(instance));
        }
    }

    fn exchange(&mut self) {
        self.at(EXCHANGE, Ev::Exchange);
        if !self.plan.exchange {
            return;
        }
        let now = self.now;
        let demands: Vec<Demand> = self.gates.iter_mut().map(|g| g.demand(now)).collect();
        let parts = shares(Slots(self.plan.slots), &demands);
        for (instance, share) in parts.into_iter().enumerate() {
            self.gates[instance].set_share(share, now);
            self.drain(instance);
        }
    }
}
