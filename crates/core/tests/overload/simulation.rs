//! Simulation of ten instances and one backend server, in virtual time.

use {
    crate::{
        clients::{Clients, INSTANCES},
        scenario::{Reports, Scenario},
        server::{Arrival, Server},
        stats::Stats,
    },
    citron_core::{
        admission::{
            Admission, AdmissionController, Demand, DemandTracker, QueueDecision, ReleaseReason,
            SlotShare, Ticket, even_share,
        },
        id::{ServerName, Slots},
        routing::{
            AttemptNo, Event, ExchangeStage, FailureReason, RequestBody, RequestKind, RetryPolicy,
            RetryState, Step,
        },
        time::Time,
    },
    std::{cmp::Reverse, collections::BinaryHeap, time::Duration},
};

/// Network delay between an instance and the server, one way.
const NETWORK_DELAY: Duration = Duration::from_micros(250);
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Added to the seed for the clients' own random numbers.
const CLIENTS_SEED: u64 = 1_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Arrive,
    Resend { instance: usize, resends_left: u32 },
    Reach(usize, AttemptNo),
    Worked(usize, AttemptNo),
    Reply(usize, AttemptNo, Reply),
    Retry(usize, AttemptNo),
    AttemptTimeout(usize, AttemptNo),
    Deadline(usize),
    Wake(usize),
    Exchange,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Reply {
    Answered,
    Refused,
}

#[derive(Debug, PartialEq, Eq)]
enum RequestPlace {
    Queue,
    Server { no: AttemptNo, since: Time },
    Backoff,
    Ended,
}

struct Request {
    instance: usize,
    created: Time,
    deadline: Time,
    state: RetryState,
    no: AttemptNo,
    place: RequestPlace,
    resends: u32,
}

pub struct Simulation {
    scenario: Scenario,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64, SimEvent)>>,
    order: u64,
    controllers: Vec<AdmissionController>,
    retries: Vec<RetryPolicy>,
    requests: Vec<Request>,
    server: Server<(usize, AttemptNo)>,
    clients: Clients,
    /// Requests that wait for a retry and are not queued at a controller.
    backing_off: usize,
    pub stats: Stats,
}

impl Simulation {
    pub fn run(scenario: Scenario) -> Stats {
        let share = scenario.share.map(SlotShare::new);
        let share = share.unwrap_or(even_share(Slots(scenario.slots), INSTANCES));
        let controller = |_| AdmissionController::new(scenario.controller, share, Time::ZERO);
        let retries = |i| RetryPolicy::new(scenario.budget, scenario.seed + i as u64);
        let mut simulation = Self {
            now: Time::ZERO,
            events: BinaryHeap::new(),
            order: 0,
            controllers: (0..INSTANCES).map(controller).collect(),
            retries: (0..INSTANCES).map(retries).collect(),
            requests: Vec::new(),
            server: Server::new(scenario.slots, scenario.backlog, scenario.seed),
            clients: Clients::new(
                scenario.load * scenario.capacity(),
                scenario.seed + CLIENTS_SEED,
            ),
            backing_off: 0,
            stats: Stats::new(INSTANCES, scenario.slots, scenario.capacity()),
            scenario,
        };
        simulation.at(Duration::ZERO, SimEvent::Arrive);
        simulation.at(REPORT_INTERVAL, SimEvent::Exchange);
        while let Some(Reverse((time, _, event))) = simulation.events.pop() {
            if time > scenario.end {
                break;
            }
            simulation.advance(time);
            simulation.handle(event);
        }
        simulation.stats
    }

    fn at(&mut self, after: Duration, event: SimEvent) {
        self.order += 1;
        self.events
            .push(Reverse((self.now + after, self.order, event)));
    }

    /// Advances the time, and counts the slots that were idle while requests waited.
    fn advance(&mut self, time: Time) {
        let waiting: usize = self
            .controllers
            .iter()
            .map(AdmissionController::waiting)
            .sum();
        let waiting = waiting + self.backing_off;
        let idle = self.server.idle_slots().min(waiting as u32);
        self.stats.idle(idle, time - self.now, time);
        self.now = time;
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrive => self.arrive(),
            SimEvent::Resend {
                instance,
                resends_left,
            } => self.request(instance, resends_left),
            SimEvent::Reach(id, no) => self.reach(id, no),
            SimEvent::Worked(id, no) => self.worked(id, no),
            SimEvent::Reply(id, no, reply) => self.reply(id, no, reply),
            SimEvent::Retry(id, no) => self.retry(id, no),
            SimEvent::AttemptTimeout(id, no) => self.attempt_timed_out(id, no),
            SimEvent::Deadline(id) => self.deadline(id),
            SimEvent::Wake(instance) => self.start_waiting(instance),
            SimEvent::Exchange => self.exchange(),
        }
    }

    fn arrive(&mut self) {
        let gap = self.clients.gap();
        self.at(gap, SimEvent::Arrive);
        let instance = self.clients.instance(self.now);
        self.stats.offered(instance, self.now);
        self.request(instance, self.scenario.resends);
    }

    fn request(&mut self, instance: usize, resends: u32) {
        let id = self.requests.len();
        let deadline = self.now + Duration::from_secs(1);
        let kind = RequestKind {
            idempotent: true,
            body: RequestBody::Buffered,
            deadline,
        };
        self.requests.push(Request {
            instance,
            created: self.now,
            deadline,
            state: RetryState::new(kind, &mut self.retries[instance]),
            no: AttemptNo(0),
            place: RequestPlace::Ended,
            resends,
        });
        self.at(Duration::from_secs(1), SimEvent::Deadline(id));
        self.enter(id);
    }

    fn enter(&mut self, id: usize) {
        let (instance, deadline) = (self.requests[id].instance, self.requests[id].deadline);
        let ticket = Ticket(id as u64);
        match self.controllers[instance].admit(ticket, deadline, self.now) {
            Admission::Start => self.start(id),
            Admission::Queued => self.requests[id].place = RequestPlace::Queue,
            Admission::Shed { reason, wait } => self.step(id, Event::Denied { reason, wait }),
        }
        self.schedule_wake(instance);
    }

    fn start(&mut self, id: usize) {
        if self.requests[id].no == AttemptNo(0) {
            self.step(id, Event::Admitted);
        } else {
            self.send(id, self.requests[id].no);
        }
    }

    fn step(&mut self, id: usize, event: Event) {
        let request = &mut self.requests[id];
        let retries = &mut self.retries[request.instance];
        match request.state.step(event, self.now, retries) {
            Step::Send(send) if send.delay.is_zero() => {
                request.no = send.no;
                self.send(id, send.no);
            }
            Step::Send(send) => {
                request.no = send.no;
                request.place = RequestPlace::Backoff;
                self.backing_off += 1;
                self.at(send.delay, SimEvent::Retry(id, send.no));
            }
            Step::Answer(_) => self.failed(id),
            Step::Forward(_) => {
                request.place = RequestPlace::Ended;
                let latency = self.now - request.created;
                self.stats.good(request.instance, latency, self.now);
            }
            _ => {}
        }
    }

    fn failed(&mut self, id: usize) {
        let request = &mut self.requests[id];
        request.place = RequestPlace::Ended;
        self.stats.refused(self.now);
        if request.resends > 0 {
            let (instance, resends_left) = (request.instance, request.resends - 1);
            self.at(
                Duration::from_secs(1),
                SimEvent::Resend {
                    instance,
                    resends_left,
                },
            );
        }
    }

    fn send(&mut self, id: usize, no: AttemptNo) {
        self.requests[id].place = RequestPlace::Server {
            no,
            since: self.now,
        };
        self.at(NETWORK_DELAY, SimEvent::Reach(id, no));
        if let Some(attempt_timeout) = self.scenario.attempt_timeout {
            self.at(attempt_timeout, SimEvent::AttemptTimeout(id, no));
        }
    }

    fn is_down(&self) -> bool {
        let outage = self.scenario.outage;
        outage.is_some_and(|(from, to)| (from..to).contains(&self.now))
    }

    fn reach(&mut self, id: usize, no: AttemptNo) {
        if self.is_down() {
            return;
        }
        match self.server.accept((id, no)) {
            Arrival::Started(work) => self.at(work, SimEvent::Worked(id, no)),
            Arrival::Queued => {}
            Arrival::Refused => {
                self.stats.server_refused(self.now);
                self.at(NETWORK_DELAY, SimEvent::Reply(id, no, Reply::Refused));
            }
        }
    }

    fn worked(&mut self, id: usize, no: AttemptNo) {
        if !self.is_down() {
            self.at(NETWORK_DELAY, SimEvent::Reply(id, no, Reply::Answered));
        }
        if let Some(((id, no), work)) = self.server.finish() {
            self.at(work, SimEvent::Worked(id, no));
        }
    }

    fn reply(&mut self, id: usize, no: AttemptNo, reply: Reply) {
        let release = match reply {
            Reply::Answered => ReleaseReason::Answered,
            Reply::Refused => ReleaseReason::Refused,
        };
        if !self.release(id, no, release) {
            return;
        }
        self.requests[id].place = RequestPlace::Ended;
        let wait = None;
        match reply {
            Reply::Answered => self.step(id, Event::Answered(no)),
            Reply::Refused => self.step(id, Event::Refused { no, wait }),
        }
        self.start_waiting(self.requests[id].instance);
    }

    /// Frees the slot of an attempt; `false` if it was freed before.
    fn release(&mut self, id: usize, no: AttemptNo, release: ReleaseReason) -> bool {
        let request = &self.requests[id];
        let RequestPlace::Server { no: open, since } = request.place else {
            return false;
        };
        if open != no {
            return false;
        }
        self.controllers[request.instance].end(release, self.now - since, self.now);
        true
    }

    fn retry(&mut self, id: usize, no: AttemptNo) {
        if self.requests[id].place == RequestPlace::Backoff && self.requests[id].no == no {
            self.backing_off -= 1;
            self.enter(id);
        }
    }

    fn attempt_timed_out(&mut self, id: usize, no: AttemptNo) {
        if !self.release(id, no, ReleaseReason::TimedOut) {
            return;
        }
        self.requests[id].place = RequestPlace::Ended;
        self.step(id, Event::TimedOut(no, ExchangeStage::Written));
        self.start_waiting(self.requests[id].instance);
    }

    fn deadline(&mut self, id: usize) {
        let request = &self.requests[id];
        let (instance, deadline) = (request.instance, request.deadline);
        let mut event = Event::Denied {
            reason: FailureReason::TimedOut,
            wait: Duration::from_secs(1),
        };
        match request.place {
            RequestPlace::Ended => return,
            RequestPlace::Queue => self.controllers[instance].cancel(Ticket(id as u64), deadline),
            RequestPlace::Server { no, .. } => {
                self.release(id, no, ReleaseReason::TimedOut);
                event = Event::TimedOut(no, ExchangeStage::Written);
            }
            RequestPlace::Backoff => self.backing_off -= 1,
        }
        self.step(id, event);
        self.start_waiting(instance);
    }

    fn start_waiting(&mut self, instance: usize) {
        while let Some(decision) = self.controllers[instance].next(self.now) {
            match decision {
                QueueDecision::Start(Ticket(id)) => self.start(id as usize),
                QueueDecision::Shed { ticket, wait } => {
                    let reason = FailureReason::Overloaded;
                    self.step(ticket.0 as usize, Event::Denied { reason, wait });
                }
            }
        }
        self.schedule_wake(instance);
    }

    fn schedule_wake(&mut self, instance: usize) {
        if let Some(time) = self.controllers[instance].ready_at(self.now) {
            self.at(time - self.now, SimEvent::Wake(instance));
        }
    }

    fn exchange(&mut self) {
        self.at(REPORT_INTERVAL, SimEvent::Exchange);
        if self.scenario.reports == Reports::Unused {
            return;
        }
        let now = self.now;
        let demands: Vec<Demand> = self.controllers.iter_mut().map(|g| g.demand(now)).collect();
        for instance in 0..INSTANCES {
            let share = self.share(instance, &demands);
            self.controllers[instance].set_share(share, now);
            self.start_waiting(instance);
        }
    }

    fn share(&self, instance: usize, demands: &[Demand]) -> SlotShare {
        let server: ServerName = "server-1".parse().expect("a valid name");
        let mut tracker = DemandTracker::default();
        for (peer, demand) in demands.iter().enumerate() {
            if peer != instance && self.scenario.reports == Reports::Delivered {
                let from = format!("instance-{peer}").parse().expect("a valid name");
                tracker.record(from, [(server.clone(), *demand)].into(), self.now);
            }
        }
        let slots = Slots(self.scenario.slots);
        let quota = tracker.quota(&server, slots, None, demands[instance], INSTANCES, self.now);
        quota.share
    }
}
