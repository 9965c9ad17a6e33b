//! Simulation of instances, backend servers and the messages between them.

use {
    citron_core::{
        dispatch::{
            AttemptOutcome, Candidate, ConcurrencyLimit, Decision, LoadTracker, ON_TIME_SHARE,
            TimeLimits, Timeliness, run_share, select_server,
        },
        id::{InstanceId, Slots},
        registry::{AddressClaim, ServerEntry, ServerRecord, ServerState},
        time::Time,
    },
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, VecDeque},
        fmt,
        time::Duration,
    },
};

/// Network delay between an instance and a server, in one direction.
const ONE_WAY_DELAY: Duration = Duration::from_millis(1);
/// Maximum number of requests that wait at a server in addition to those in its slots.
const MAX_QUEUE_LENGTH: usize = 16;
/// Longest idle time of a connection that is reused for a request that may run only once.
const MAX_IDLE: Duration = Duration::from_millis(1_500);
/// Time that callers wait for a response.
const DEADLINE: Duration = Duration::from_millis(4_000);
/// Simulated time that is not measured, until instances have measured the servers.
const WARM_UP: Duration = Duration::from_secs(10);

/// Size and load of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct Shape {
    pub domains: usize,
    /// Instances per failure domain.
    pub instances: usize,
    /// Servers per failure domain.
    pub servers: usize,
    pub slots: u32,
    /// Mean run time of a request at a server of average speed.
    pub run_time: Duration,
    /// Interval between load reports of an instance.
    pub report_interval: Duration,
    /// Demand relative to the servers' capacity.
    pub demand: f64,
    /// Servers that an instance compares.
    pub sample_size: usize,
    /// Whether instances limit their concurrent requests.
    pub has_concurrency_limit: bool,
    /// Whether connections are kept for further requests.
    pub keeps_connections: bool,
    /// Whether each request goes to one random server, the owner of its key.
    pub is_sharded: bool,
    /// The latency objective.
    pub objective: Duration,
    /// Share of the requests that servers reject at random.
    pub shed_ratio: f64,
    /// Whether servers report their load with such a rejection.
    pub reports_room: bool,
}

/// Counts of requests by outcome.
#[derive(Debug, Default)]
pub struct Figures {
    pub requests: u32,
    pub in_time: u32,
    pub late: u32,
    /// Rejected by a server whose queue was full.
    pub queue_full: u32,
    /// Rejected by the instance without being sent.
    pub refused: u32,
    /// New connections.
    pub connections: u32,
}

impl Figures {
    fn share(&self, count: u32) -> f64 {
        f64::from(count) / f64::from(self.requests)
    }

    /// Share of the requests that completed within the objective.
    pub fn served(&self) -> f64 {
        self.share(self.in_time)
    }

    /// Share of the requests that completed later.
    pub fn late(&self) -> f64 {
        self.share(self.late)
    }

    /// New connections per request.
    pub fn connections(&self) -> f64 {
        self.share(self.connections)
    }

    /// Share of the requests that the instance rejected without sending them.
    pub fn refused(&self) -> f64 {
        self.share(self.refused)
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = [
            self.in_time,
            self.late,
            self.queue_full,
            self.refused,
            self.connections,
        ];
        let [in_time, late, queue_full, refused, connections] =
            counts.map(|count| self.share(count));
        write!(
            f,
            "in time {in_time:.3}, late {late:.3}, queue full {queue_full:.3}, refused {refused:.3}, connections {connections:.3}"
        )
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    AtServer(usize),
    Completed(usize),
    Response(usize),
    Report(usize),
}

struct Request {
    instance: usize,
    server: usize,
    begun: Time,
    sent: Time,
    share: f64,
    refused: bool,
    /// Whether the server reported free slots when it rejected the request.
    has_room: bool,
}

struct Instance {
    name: InstanceId,
    domain: usize,
    loads: LoadTracker,
    /// Times at which the idle connections to each server were last used.
    idle: Vec<Vec<Time>>,
    limit: ConcurrencyLimit,
}

struct Server {
    known: ServerRecord,
    domain: usize,
    speed: f64,
    running: usize,
    waiting: VecDeque<usize>,
}

pub struct Simulation {
    shape: Shape,
    now: Time,
    rng: ChaCha8Rng,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    sequence: u64,
    instances: Vec<Instance>,
    servers: Vec<Server>,
    requests: Vec<Request>,
    figures: Figures,
}

impl Simulation {
    pub fn new(shape: Shape, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let instances = (0..shape.domains * shape.instances).map(|number| Instance {
            name: format!("n-{number}").parse().unwrap(),
            domain: number % shape.domains,
            loads: LoadTracker::default(),
            idle: vec![Vec::new(); shape.domains * shape.servers],
            limit: ConcurrencyLimit::default(),
        });
        let servers = (0..shape.domains * shape.servers).map(|number| Server {
            known: known_server(number, number % shape.domains, shape.slots),
            domain: number % shape.domains,
            speed: rng.random_range(0.7..1.4),
            running: 0,
            waiting: VecDeque::new(),
        });
        let servers = servers.collect();
        let mut simulation = Self {
            shape,
            now: Time::ZERO,
            rng,
            events: BinaryHeap::new(),
            sequence: 0,
            instances: instances.collect(),
            servers,
            requests: Vec::new(),
            figures: Figures::default(),
        };
        for instance in 0..simulation.instances.len() {
            let first = shape.report_interval.mul_f64(simulation.rng.random());
            simulation.schedule(first, Event::Report(instance));
            simulation.next_arrival(instance);
        }
        simulation
    }

    pub fn run_for(mut self, span: Duration) -> Figures {
        let end = Time::ZERO + span;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            match event {
                Event::Arrival(instance) => self.arrive(instance),
                Event::AtServer(request) => self.receive_request(request),
                Event::Completed(request) => self.complete(request),
                Event::Response(request) => self.receive_response(request),
                Event::Report(instance) => self.report(instance),
            }
        }
        self.figures
    }

    fn schedule(&mut self, span: Duration, event: Event) {
        self.sequence += 1;
        self.events
            .push(Reverse((self.now + span, self.sequence, event)));
    }

    fn exponential(&mut self, mean: f64) -> Duration {
        Duration::from_secs_f64(-mean * (1.0 - self.rng.random::<f64>()).ln())
    }

    fn next_arrival(&mut self, instance: usize) {
        let shape = &self.shape;
        let slots = shape.servers as f64 * f64::from(shape.slots);
        let rate = shape.demand * slots / shape.run_time.as_secs_f64() / shape.instances as f64;
        let span = self.exponential(1.0 / rate);
        self.schedule(span, Event::Arrival(instance));
    }

    fn is_measured(&self) -> bool {
        self.now > Time::ZERO + WARM_UP
    }

    fn arrive(&mut self, instance: usize) {
        self.next_arrival(instance);
        let (shape, now) = (self.shape, self.now);
        let from = &self.instances[instance];
        let owner = shape
            .is_sharded
            .then(|| self.rng.random_range(0..self.servers.len()));
        let is_fresh = |used: &Time| now - *used < MAX_IDLE;
        let candidates = self
            .servers
            .iter()
            .enumerate()
            .filter(|(index, _)| owner.is_none_or(|owner| owner == *index))
            .map(|(index, server)| Candidate {
                server: &server.known,
                has_connection: from.idle[index].iter().any(is_fresh),
                same_domain: server.domain == from.domain,
                is_brokered: false,
                load_factor: match server.domain == from.domain && !shape.is_sharded {
                    true => 1.0,
                    false => shape.domains as f64,
                },
            });
        let limits = TimeLimits {
            objective: shape.objective,
            deadline: DEADLINE,
            sample_size: shape.sample_size,
        };
        let rng = &mut self.rng;
        let is_measured = now > Time::ZERO + WARM_UP;
        self.figures.requests += u32::from(is_measured);
        if shape.has_concurrency_limit && !from.limit.admits(rng.random()) {
            self.figures.refused += u32::from(is_measured);
            return;
        }
        let choice = select_server(&from.loads, candidates, limits, now, || rng.random());
        let Decision::Send(name) = choice else {
            self.figures.refused += u32::from(is_measured);
            return;
        };
        let server = self
            .servers
            .iter()
            .position(|server| server.known.entry.name == name)
            .unwrap();
        let from = &mut self.instances[instance];
        let share = run_share(from.loads.get(&name).in_flight(), Slots(shape.slots));
        from.loads.begin(&name, now);
        let idle = &mut from.idle[server];
        idle.retain(is_fresh);
        let connects = idle.pop().is_none();
        self.figures.connections += u32::from(is_measured && connects);
        from.limit.begin();
        self.requests.push(Request {
            instance,
            server,
            begun: now,
            sent: now,
            share,
            refused: false,
            has_room: false,
        });
        self.schedule(ONE_WAY_DELAY, Event::AtServer(self.requests.len() - 1));
    }

    fn receive_request(&mut self, request: usize) {
        let is_shed = self.rng.random_bool(self.shape.shed_ratio);
        let server = &mut self.servers[self.requests[request].server];
        if is_shed {
            let slots = server.known.entry.slots.0 as usize;
            self.requests[request].refused = true;
            self.requests[request].has_room = self.shape.reports_room && server.running < slots;
            self.schedule(ONE_WAY_DELAY, Event::Response(request));
        } else if server.running < server.known.entry.slots.0 as usize {
            server.running += 1;
            self.run(request);
        } else if server.waiting.len() < MAX_QUEUE_LENGTH {
            server.waiting.push_back(request);
        } else {
            self.requests[request].refused = true;
            self.schedule(ONE_WAY_DELAY, Event::Response(request));
        }
    }

    fn run(&mut self, request: usize) {
        let speed = self.servers[self.requests[request].server].speed;
        // Half of the run time is constant, the other half is exponentially distributed.
        let mean = self.shape.run_time.as_secs_f64() / speed / 2.0;
        let span = Duration::from_secs_f64(mean) + self.exponential(mean);
        self.schedule(span, Event::Completed(request));
    }

    fn complete(&mut self, request: usize) {
        self.schedule(ONE_WAY_DELAY, Event::Response(request));
        let server = &mut self.servers[self.requests[request].server];
        match server.waiting.pop_front() {
            Some(next) => self.run(next),
            None => server.running -= 1,
        }
    }

    fn receive_response(&mut self, request: usize) {
        let now = self.now;
        let is_measured = self.is_measured();
        let request = &self.requests[request];
        let name = &self.servers[request.server].known.entry.name;
        let finish = match (request.refused, request.has_room) {
            (true, true) => AttemptOutcome::Shed,
            (true, false) => AttemptOutcome::Full,
            (false, _) => AttemptOutcome::Ran,
        };
        let instance = &mut self.instances[request.instance];
        let span = now - request.sent;
        if self.shape.keeps_connections {
            instance.idle[request.server].push(now);
        }
        instance.limit.end(
            match (finish, span > self.shape.objective.mul_f64(ON_TIME_SHARE)) {
                (AttemptOutcome::Shed, _) => Timeliness::Unknown,
                (AttemptOutcome::Full, _) | (_, true) => Timeliness::Late,
                (_, false) => Timeliness::OnTime,
            },
        );
        instance.loads.end(name, finish, span, request.share, now);
        if !is_measured {
            return;
        }
        let is_late = now - request.begun > self.shape.objective;
        match (request.refused, is_late) {
            (true, _) => self.figures.queue_full += 1,
            (false, true) => self.figures.late += 1,
            (false, false) => self.figures.in_time += 1,
        }
    }

    fn report(&mut self, instance: usize) {
        self.schedule(self.shape.report_interval, Event::Report(instance));
        let now = self.now;
        let (name, domain) = {
            let from = &self.instances[instance];
            (from.name.clone(), from.domain)
        };
        let loads = self.instances[instance].loads.local_loads(now);
        for (number, to) in self.instances.iter_mut().enumerate() {
            if number != instance && to.domain == domain {
                to.loads.apply_report(name.clone(), loads.clone(), now);
            }
        }
    }
}

fn known_server(number: usize, domain: usize, slots: u32) -> ServerRecord {
    ServerRecord {
        entry: ServerEntry {
            name: format!("s-{number}").parse().unwrap(),
            service: "postings".parse().unwrap(),
            address: "127.0.0.1:1".parse().unwrap(),
            domain: format!("d-{domain}").parse().unwrap(),
            slots: Slots(slots),
            state: ServerState::Ready,
            warm_up: Duration::ZERO,
        },
        leaving_since: None,
        first_seen: Time::ZERO,
        cold_until: Time::ZERO,
        evacuated_since: None,
        address_claim: AddressClaim::Exclusive,
    }
}
