//! Slots of servers: requests to the broker of a server before an attempt, and their release
//! after it.

use {
    super::thread::TrafficState,
    crate::{
        edge::{
            shared::SharedState,
            slots::{BrokerCandidate, SlotCall},
            view::View,
        },
        events,
        metrics::register,
    },
    citron_core::{
        id::{InstanceId, ServerName},
        registry::ServerRecord,
        slots::{
            BrokerHealth, CallerAges, DenyReason, SlotAnswer, SlotOutcome, SlotRequest, SlotWait,
            WaitStep, choose_broker,
        },
        time::Time,
    },
    prometheus::{IntCounter, Registry},
    std::{
        cell::{Cell, RefCell},
        mem,
        sync::Arc,
        time::Duration,
    },
    tokio::{sync::watch, time::timeout},
};

/// Number of distinct request numbers, which then repeat: those below it take at most three
/// bytes in a datagram.
const NUMBER_COUNT: u64 = 1 << 21;

/// State of the requests for slots.
#[derive(Debug)]
pub struct SlotClient {
    health: RefCell<BrokerHealth>,
    caller_ages: RefCell<CallerAges>,
    last_number: Cell<u64>,
    /// Requests that a broker did not answer.
    silent: IntCounter,
}

impl SlotClient {
    /// Registers the metric.
    ///
    /// # Errors
    /// If the name of the metric is already registered.
    pub fn new(registry: &Registry) -> prometheus::Result<Self> {
        let silent = IntCounter::new(
            "citron_slot_broker_silent_total",
            "Requests for slots that a broker did not answer in time.",
        )?;
        Ok(Self {
            health: RefCell::default(),
            caller_ages: RefCell::default(),
            // A broker may still hold leases of the process that had this address before.
            last_number: Cell::new(rand::random_range(0..NUMBER_COUNT)),
            silent: register(registry, silent)?,
        })
    }

    fn next_number(&self) -> u64 {
        let number = (self.last_number.get() + 1) % NUMBER_COUNT;
        self.last_number.set(number);
        number
    }

    /// Whether a broker may be asked now. An unresponsive one gets a request now and then.
    fn begin_request(&self, broker: &InstanceId, now: Time) -> bool {
        let mut health = self.health.borrow_mut();
        let should_ask = health.should_ask(broker, now);
        if should_ask {
            health.record_request(broker, now);
        }
        should_ask
    }

    fn record_answer(&self, broker: &InstanceId) {
        if self.health.borrow_mut().record_answer(broker) {
            log::info!("{} {broker} answers again", events::BROKER_BACK);
        }
    }

    fn record_silence(&self, broker: &BrokerCandidate, server: &ServerName, now: Time) {
        self.silent.inc();
        let instance = &broker.instance;
        if self.health.borrow_mut().record_silence(instance, now) {
            let (event, address) = (events::BROKER_SILENT, broker.address);
            log::warn!("{event} {instance} at {address}, asked for a slot of {server}");
        }
    }
}

/// Properties of a request for which a slot is needed.
#[derive(Debug)]
pub struct SlotQuery<'a> {
    /// Name of the route.
    pub route: &'a str,
    /// Priority of the route; 0 is the highest.
    pub priority: u32,
    /// Time that the client allowed for this try when it sent the request.
    pub timeout: Duration,
    /// Time by which the latency objective expects the response, if this is the client's
    /// first try.
    pub objective: Time,
    /// Time at which the client stops waiting.
    pub deadline: Time,
}

/// Result of a request for a slot.
#[derive(Debug)]
pub enum SlotDecision {
    /// The request may be sent to the server.
    Granted(SlotLease),
    /// The server has no slot for the request in time.
    Denied {
        /// Time after which a rejected client should return.
        retry_after: Duration,
        /// Reason of the broker.
        reason: DenyReason,
        /// The broker.
        broker: InstanceId,
    },
    /// Brokers are not used for the server, or its broker does not answer. The load that
    /// this instance knows of decides.
    Unavailable,
}

/// Slot of a server, held during an attempt. Dropped without [`close`](Self::close), it is
/// released as [`SlotOutcome::Failed`]: the client has disconnected.
#[derive(Debug)]
pub struct SlotLease {
    shared: Arc<SharedState>,
    number: u64,
    /// Outcome that is sent when the lease is dropped.
    outcome: SlotOutcome,
}

impl SlotLease {
    /// Releases the slot after the attempt.
    pub fn close(mut self, outcome: SlotOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for SlotLease {
    fn drop(&mut self) {
        self.shared.push_slot_call(SlotCall::Release {
            number: self.number,
            outcome: mem::replace(&mut self.outcome, SlotOutcome::Unused),
        });
    }
}

/// Asks the broker of a server for a slot. Ends by the deadline of the request, whichever
/// datagrams are lost. If the future is dropped, the request at the broker ends.
pub async fn acquire(
    state: &TrafficState,
    view: &View,
    server: &ServerRecord,
    query: &SlotQuery<'_>,
) -> SlotDecision {
    if !uses_broker(state, view, server) {
        return SlotDecision::Unavailable;
    }
    let now = state.clock.now();
    let waited = state
        .slots
        .caller_ages
        .borrow_mut()
        .observe(query.route, query.timeout, now);
    let asking = Asking {
        state,
        server,
        priority: query.priority,
        objective: query.objective - waited,
        deadline: query.deadline,
    };
    let mut leaving: Vec<&InstanceId> = Vec::new();
    loop {
        let now = state.clock.now();
        let candidates = view.broker_candidates.iter();
        let broker = {
            let health = state.slots.health.borrow();
            let may_answer = |candidate: &&BrokerCandidate| {
                let instance = &candidate.instance;
                !leaving.contains(&instance) && !health.is_lost(instance, now)
            };
            find_broker(server, candidates.filter(may_answer))
        };
        let Some(broker) = broker else {
            return SlotDecision::Unavailable;
        };
        if !state.slots.begin_request(&broker.instance, now) {
            return SlotDecision::Unavailable;
        }
        match asking.ask(broker).await {
            SlotDecision::Denied {
                reason: DenyReason::Leaving,
                ..
            } => leaving.push(&broker.instance),
            decision => return decision,
        }
    }
}

/// Whether the slots of a server are allocated by a broker.
pub fn uses_broker(state: &TrafficState, view: &View, server: &ServerRecord) -> bool {
    let Some(settings) = &state.settings.slot_brokers else {
        return false;
    };
    let service = view.config.service(&server.entry.service);
    let is_sharded = service.is_some_and(|service| service.is_sharded);
    is_sharded && settings.applies_to(server.entry.slots, view.instance_count)
}

fn find_broker<'a>(
    server: &ServerRecord,
    candidates: impl Iterator<Item = &'a BrokerCandidate> + Clone,
) -> Option<&'a BrokerCandidate> {
    let instances = candidates
        .clone()
        .map(|candidate| (&candidate.instance, &candidate.domain));
    let chosen = choose_broker(&server.entry.name, &server.entry.domain, instances)?;
    candidates
        .into_iter()
        .find(|candidate| candidate.instance == *chosen)
}

/// A request that asks for a slot.
struct Asking<'a> {
    state: &'a TrafficState,
    server: &'a ServerRecord,
    priority: u32,
    objective: Time,
    deadline: Time,
}

impl Asking<'_> {
    /// The request, with the time that is left at `now`.
    fn request(&self, now: Time) -> SlotRequest {
        SlotRequest {
            server: self.server.entry.name.clone(),
            slots: self.server.entry.slots,
            priority: self.priority,
            objective: self.objective - now,
            deadline: self.deadline - now,
        }
    }

    async fn ask(&self, broker: &BrokerCandidate) -> SlotDecision {
        let state = self.state;
        let number = state.slots.next_number();
        let (reply, mut answers) = watch::channel(None);
        let now = state.clock.now();
        state.shared.push_slot_call(SlotCall::Ask {
            number,
            broker: broker.address,
            request: self.request(now),
            reply,
        });
        let mut lease = SlotLease {
            shared: Arc::clone(&state.shared),
            number,
            outcome: SlotOutcome::Unused,
        };
        let mut wait = SlotWait::new(now, self.deadline);
        loop {
            let now = state.clock.now();
            match wait.next(now) {
                WaitStep::Wait(until) => {
                    let Some(answer) = next_answer(&mut answers, until - now).await else {
                        continue;
                    };
                    state.slots.record_answer(&broker.instance);
                    if answer != SlotAnswer::Granted {
                        let mut loads = state.shared.loads();
                        loads.record_contention(&self.server.entry.name, now);
                    }
                    wait.record_answer(answer, state.clock.now());
                }
                WaitStep::Repeat => state.shared.push_slot_call(SlotCall::Repeat {
                    number,
                    broker: broker.address,
                    request: self.request(now),
                }),
                WaitStep::Granted => {
                    lease.outcome = SlotOutcome::Failed;
                    return SlotDecision::Granted(lease);
                }
                WaitStep::Denied {
                    retry_after,
                    reason,
                } => {
                    return SlotDecision::Denied {
                        retry_after,
                        reason,
                        broker: broker.instance.clone(),
                    };
                }
                WaitStep::Silent => {
                    let server = &self.server.entry.name;
                    state.slots.record_silence(broker, server, now);
                    return SlotDecision::Unavailable;
                }
                WaitStep::Expired => return SlotDecision::Unavailable,
            }
        }
    }
}

/// Next answer, or `None` after `wait_max`.
async fn next_answer(
    answers: &mut watch::Receiver<Option<SlotAnswer>>,
    wait_max: Duration,
) -> Option<SlotAnswer> {
    let next = async {
        if answers.changed().await.is_err() {
            // The control thread has ended, and the process ends with it.
            std::future::pending::<()>().await;
        }
    };
    timeout(wait_max, next).await.ok()?;
    *answers.borrow_and_update()
}
