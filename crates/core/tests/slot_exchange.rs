//! Exchange of slot messages between instances over a network that loses, repeats and
//! reorders them.

use {
    citron_core::{
        id::Slots,
        slots::{
            ANSWER_TIMEOUT, DenyReason, SlotAnswer, SlotExchange, SlotMessage, SlotOutcome,
            SlotOutput, SlotRequest, SlotWait, WaitStep,
        },
        time::Time,
    },
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

const SLOTS: Slots = Slots(4);
/// Most requests that a server with [`SLOTS`] has in flight: its slots and half of them.
const IN_FLIGHT_MAX: usize = 6;
const RUN_TIME: Duration = Duration::from_millis(30);
const DEADLINE: Duration = Duration::from_millis(900);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn at(moment: u64) -> Time {
    Time::ZERO + millis(moment)
}

fn address(instance: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + instance as u16))
}

fn request(now: Time, deadline: Time) -> SlotRequest {
    SlotRequest {
        server: "depot-1".parse().unwrap(),
        slots: SLOTS,
        priority: 0,
        objective: deadline - now,
        deadline: deadline - now,
    }
}

#[derive(Debug)]
enum Event {
    Arrival(usize),
    Message {
        from: usize,
        to: usize,
        message: SlotMessage,
    },
    Wake(u64),
    Disconnect(u64),
    Done(u64),
    Expiry,
}

#[derive(Debug)]
struct Call {
    instance: usize,
    wait: SlotWait,
    deadline: Time,
}

#[derive(Debug, Default)]
struct Counts {
    granted: usize,
    denied: usize,
    silent: usize,
    expired: usize,
    disconnected: usize,
}

/// Instances of which the first is the broker.
struct Simulation {
    rng: ChaCha8Rng,
    loss: f64,
    now: Time,
    events: BTreeMap<(Time, u64), Event>,
    event_count: u64,
    exchanges: Vec<SlotExchange>,
    calls: BTreeMap<u64, Call>,
    running: BTreeMap<u64, usize>,
    running_max: usize,
    counts: Counts,
}

impl Simulation {
    fn new(instances: usize, loss: f64, seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            loss,
            now: at(0),
            events: BTreeMap::new(),
            event_count: 0,
            exchanges: (0..instances)
                .map(|instance| SlotExchange::new(address(instance)))
                .collect(),
            calls: BTreeMap::new(),
            running: BTreeMap::new(),
            running_max: 0,
            counts: Counts::default(),
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.event_count += 1;
        self.events
            .insert((self.now + after, self.event_count), event);
    }

    fn perform(&mut self, instance: usize, outputs: Vec<SlotOutput>) {
        for output in outputs {
            match output {
                SlotOutput::Send(to, message) => {
                    let to = usize::from(to.port()) - 7_000;
                    let copies = match self.rng.random::<f64>() {
                        draw if draw < self.loss => 0,
                        draw if draw < self.loss * 1.2 => 2,
                        _ => 1,
                    };
                    for _ in 0..copies {
                        let delay = Duration::from_micros(self.rng.random_range(300..4_000));
                        let message = message.clone();
                        let from = instance;
                        self.schedule(delay, Event::Message { from, to, message });
                    }
                }
                SlotOutput::Answer(number, answer) => {
                    if let Some(call) = self.calls.get_mut(&number) {
                        call.wait.record_answer(answer, self.now);
                        self.step(number);
                    }
                }
            }
        }
    }

    fn release(&mut self, instance: usize, number: u64, outcome: SlotOutcome) {
        let outputs = self.exchanges[instance].release(number, outcome, self.now);
        self.perform(instance, outputs);
    }

    fn step(&mut self, number: u64) {
        let call = self.calls.get_mut(&number).unwrap();
        let (instance, deadline) = (call.instance, call.deadline);
        let step = call.wait.next(self.now);
        let count = match step {
            WaitStep::Wait(until) => {
                return self.schedule(until - self.now, Event::Wake(number));
            }
            WaitStep::Repeat => {
                self.ask(instance, number, deadline);
                if self.calls.contains_key(&number) {
                    self.step(number);
                }
                return;
            }
            WaitStep::Granted => &mut self.counts.granted,
            WaitStep::Denied { .. } => &mut self.counts.denied,
            WaitStep::Silent => &mut self.counts.silent,
            WaitStep::Expired => &mut self.counts.expired,
        };
        *count += 1;
        assert!(self.now <= deadline, "{number} was decided at {}", self.now);
        self.calls.remove(&number);
        if step == WaitStep::Granted {
            self.running.insert(number, instance);
            self.running_max = self.running_max.max(self.running.len());
            self.schedule(RUN_TIME.min(deadline - self.now), Event::Done(number));
        } else {
            self.release(instance, number, SlotOutcome::Unused);
        }
    }

    fn ask(&mut self, instance: usize, number: u64, deadline: Time) {
        let request = request(self.now, deadline);
        let random = self.rng.random();
        let outputs = self.exchanges[instance].ask(number, address(0), request, self.now, random);
        self.perform(instance, outputs);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(instance) => {
                let number = self.event_count + 1_000_000;
                let deadline = self.now + DEADLINE;
                let wait = SlotWait::new(self.now, deadline);
                let call = Call {
                    instance,
                    wait,
                    deadline,
                };
                self.calls.insert(number, call);
                if self.rng.random_bool(0.05) {
                    let after = millis(self.rng.random_range(1..100));
                    self.schedule(after, Event::Disconnect(number));
                }
                self.ask(instance, number, deadline);
                if self.calls.contains_key(&number) {
                    self.step(number);
                }
            }
            Event::Message { from, to, message } => {
                let random = self.rng.random();
                let outputs = self.exchanges[to].receive(address(from), message, self.now, random);
                self.perform(to, outputs);
            }
            Event::Wake(number) => {
                if self.calls.contains_key(&number) {
                    self.step(number);
                }
            }
            Event::Disconnect(number) => {
                let call = self.calls.remove(&number).map(|call| call.instance);
                let outcome = match call {
                    Some(_) => SlotOutcome::Unused,
                    None => SlotOutcome::Failed,
                };
                if let Some(instance) = call.or_else(|| self.running.remove(&number)) {
                    self.counts.disconnected += 1;
                    self.release(instance, number, outcome);
                }
            }
            Event::Done(number) => {
                if let Some(instance) = self.running.remove(&number) {
                    let outcome = SlotOutcome::Ran {
                        span: RUN_TIME,
                        load: None,
                    };
                    self.release(instance, number, outcome);
                }
            }
            Event::Expiry => {
                let outputs = self.exchanges[0].expire(self.now);
                self.perform(0, outputs);
            }
        }
    }

    /// Sends requests for some seconds at a rate above what the server can run, and lets
    /// all of them end.
    fn run(&mut self) {
        for _ in 0..1_000 {
            let instance = self.rng.random_range(0..self.exchanges.len());
            let after = Duration::from_micros(self.rng.random_range(0..5_000_000));
            self.schedule(after, Event::Arrival(instance));
        }
        for tick in 0..400 {
            self.schedule(millis(20 * tick), Event::Expiry);
        }
        while let Some(((now, _), event)) = self.events.pop_first() {
            self.now = now;
            self.handle(event);
        }
    }
}

/// Guards against requests that hang, servers that get more than they take, and slots that
/// are never given back, whatever the network does with the messages.
#[test]
fn every_request_is_decided_by_its_deadline_and_every_slot_returns() {
    for (seed, loss) in [(1, 0.0), (2, 0.01), (3, 0.1), (4, 0.4)] {
        let mut simulation = Simulation::new(20, loss, seed);
        simulation.run();
        let counts = &simulation.counts;
        println!("loss {loss}: {counts:?}");
        assert!(simulation.calls.is_empty());
        assert!(simulation.running.is_empty());
        assert!(simulation.running_max <= IN_FLIGHT_MAX);
        assert!(simulation.exchanges[0].is_idle(), "loss {loss}");
        assert!(counts.granted > 0 && counts.denied > 0);
        assert_eq!(counts.silent > 0, loss > 0.0, "{counts:?}");
    }
}

/// Guards against a wait without end at a broker that answers nothing at all.
#[test]
fn a_silent_broker_is_noticed_in_time() {
    let mut simulation = Simulation::new(2, 1.0, 5);
    simulation.schedule(Duration::ZERO, Event::Arrival(1));
    while let Some(((now, _), event)) = simulation.events.pop_first() {
        simulation.now = now;
        simulation.handle(event);
    }
    assert_eq!(simulation.counts.silent, 1);
    assert!(simulation.now <= at(0) + ANSWER_TIMEOUT);
}

fn answer(number: u64, answer: SlotAnswer) -> SlotMessage {
    SlotMessage::Answer { number, answer }
}

/// Guards against a slot that stays allocated until the deadline of a request that was sent
/// by the existing rules, as the broker answered too late.
#[test]
fn a_late_grant_is_released_as_unused() {
    let mut exchange = SlotExchange::new(address(1));
    exchange.ask(7, address(0), request(at(0), at(900)), at(0), 0.5);
    let unused = SlotMessage::Release {
        number: 7,
        outcome: SlotOutcome::Unused,
    };
    let released = exchange.release(7, SlotOutcome::Unused, at(60));
    assert_eq!(released, [SlotOutput::Send(address(0), unused.clone())]);
    for late in [SlotAnswer::Granted, SlotAnswer::Queued(millis(40))] {
        let outputs = exchange.receive(address(0), answer(7, late), at(70), 0.5);
        assert_eq!(outputs, [SlotOutput::Send(address(0), unused.clone())]);
    }
}

/// Guards against the release of a slot in use: a repeated request and its first grant may
/// cross on the way.
#[test]
fn a_second_grant_of_the_same_request_changes_nothing() {
    let mut exchange = SlotExchange::new(address(1));
    exchange.ask(7, address(0), request(at(0), at(900)), at(0), 0.5);
    let granted = answer(7, SlotAnswer::Granted);
    let outputs = exchange.receive(address(0), granted.clone(), at(2), 0.5);
    assert_eq!(outputs, [SlotOutput::Answer(7, SlotAnswer::Granted)]);
    let queued = answer(7, SlotAnswer::Queued(millis(40)));
    for message in [granted, queued] {
        let outputs = exchange.receive(address(0), message, at(3), 0.5);
        assert_eq!(outputs, []);
    }
    let repeated = exchange.ask(7, address(0), request(at(4), at(900)), at(4), 0.5);
    assert_eq!(repeated, []);
    assert_eq!(exchange.release(7, SlotOutcome::Failed, at(30)).len(), 1);
}

/// Guards against slots that an instance allocates while it leaves, and that its successor
/// does not know of.
#[test]
fn a_leaving_broker_denies_what_it_is_asked_from_then_on() {
    let mut broker = SlotExchange::new(address(0));
    let ask = |broker: &mut SlotExchange, number: u64, now: u64| {
        let request = request(at(now), at(900));
        let message = SlotMessage::Request { number, request };
        broker.receive(address(1), message, at(now), 0.5)
    };
    let mut answers = BTreeSet::new();
    for number in 0..7 {
        answers.extend(ask(&mut broker, number, 0).iter().map(|output| {
            let queued = SlotAnswer::Queued(Duration::ZERO);
            matches!(output, SlotOutput::Send(_, SlotMessage::Answer { answer, .. })
                if std::mem::discriminant(answer) == std::mem::discriminant(&queued))
        }));
    }
    assert_eq!(answers, BTreeSet::from([false, true]), "one is queued");
    broker.start_leaving();
    let leaving = SlotAnswer::Denied {
        retry_after: Duration::ZERO,
        reason: DenyReason::Leaving,
    };
    // The queued request asks again, and a new one comes; a release is still taken.
    for number in [6, 7] {
        let outputs = ask(&mut broker, number, 10);
        let denied = answer(number, leaving);
        assert_eq!(outputs, [SlotOutput::Send(address(1), denied)]);
    }
    assert_eq!(broker.stats().queued, 0);
    let release = SlotMessage::Release {
        number: 0,
        outcome: SlotOutcome::Failed,
    };
    broker.receive(address(1), release, at(20), 0.5);
    assert_eq!(broker.stats().leases, IN_FLIGHT_MAX - 1);
    // The instance's own requests go elsewhere, too.
    let own = broker.ask(9, address(0), request(at(20), at(900)), at(20), 0.5);
    assert_eq!(own, [SlotOutput::Answer(9, leaving)]);
}
