//! Ten instances before one backend server, in virtual time.

use {
    crate::{
        callers::{Callers, INSTANCES},
        scenario::{Plan, Reports},
        server::{Reached, Server},
        stats::Stats,
    },
    citron_core::{
        admission::{
            Admission, Demand, DemandBook, Gate, Release, SlotShare, Ticket, Turn, even_share,
        },
        id::{ServerName, Slots},
        routing::{Attempt, Event, Point, Reason, RequestBody, RequestKind, Retries, Step, Try},
        time::Time,
    },
    std::{cmp::Reverse, collections::BinaryHeap, time::Duration},
};

/// One way between an instance and the server.
const WAY: Duration = Duration::from_micros(250);
const EXCHANGE: Duration = Duration::from_millis(200);
/// Added to the seed for the callers' own random numbers.
const CALLERS_SEED: u64 = 1_000;

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
    server: Server<(usize, Try)>,
    callers: Callers,
    /// Refused by the server and not back at a gate yet.
    backing_off: usize,
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
            server: Server::new(plan.slots, plan.backlog, plan.seed),
            callers: Callers::new(plan.load * plan.capacity(), plan.seed + CALLERS_SEED),
            backing_off: 0,
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
        let idle = self.server.idle().min(waiting as u32);
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
        let gap = self.callers.gap();
        self.at(gap, Ev::Arrive);
        let instance = self.callers.instance(self.now);
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
        match self.server.reach((id, no)) {
            Reached::Works(work) => self.at(work, Ev::Worked(id, no)),
            Reached::Kept => {}
            Reached::Refused => {
                self.stats.server_refused(self.now);
                self.at(WAY, Ev::Reply(id, no, Ending::Refused));
            }
        }
    }

    fn worked(&mut self, id: usize, no: Try) {
        if !self.is_down() {
            self.at(WAY, Ev::Reply(id, no, Ending::Answered));
        }
        if let Some(((id, no), work)) = self.server.worked() {
            self.at(work, Ev::Worked(id, no));
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
        if self.plan.reports == Reports::Unused {
            return;
        }
        let now = self.now;
        let demands: Vec<Demand> = self.gates.iter_mut().map(|g| g.demand(now)).collect();
        for instance in 0..INSTANCES {
            let share = self.share(instance, &demands);
            self.gates[instance].set_share(share, now);
            self.drain(instance);
        }
    }

    fn share(&self, instance: usize, demands: &[Demand]) -> SlotShare {
        let server: ServerName = "server-1".parse().expect("a valid name");
        let mut book = DemandBook::default();
        for (peer, demand) in demands.iter().enumerate() {
            if peer != instance && self.plan.reports == Reports::Heard {
                let from = format!("instance-{peer}").parse().expect("a valid name");
                book.hear(from, [(server.clone(), *demand)].into(), self.now);
            }
        }
        let slots = Slots(self.plan.slots);
        let part = book.part(&server, slots, None, demands[instance], INSTANCES, self.now);
        part.share
    }
}
