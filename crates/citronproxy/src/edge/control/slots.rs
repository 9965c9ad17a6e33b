//! Slots of servers: requests of this instance to brokers, and allocation of the slots of
//! those servers whose broker this instance is.

use {
    super::controller::Controller,
    crate::{
        edge::slots::{BrokerCandidate, SlotCall, SlotReply},
        events,
    },
    citron_core::slots::{SlotExchange, SlotMessage, SlotOutput},
    citron_ports::Adapter,
    citron_wire::heartbeat::{Datagram, SlotWireError},
    std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::UdpSocket, sync::Notify, time::sleep},
};

/// Interval between two checks of the broker for requests and leases that have expired.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);

/// State of the exchange with brokers.
#[derive(Debug)]
pub struct Slots {
    exchange: RefCell<SlotExchange>,
    /// Requests of the traffic thread, by their numbers.
    replies: RefCell<BTreeMap<u64, SlotReply>>,
    /// Notified after each event at the broker.
    broker_used: Notify,
    /// Candidates in the view that was published last.
    published: RefCell<Arc<[BrokerCandidate]>>,
}

impl Slots {
    /// State of the instance with this address.
    pub fn new(own_address: SocketAddr) -> Self {
        Self {
            exchange: RefCell::new(SlotExchange::new(own_address)),
            replies: RefCell::default(),
            broker_used: Notify::new(),
            published: RefCell::default(),
        }
    }
}

/// Exchanges requests for slots until the process exits, if the settings enable them.
pub async fn run<A: Adapter>(controller: &Controller<A>, socket: &UdpSocket) {
    if controller.settings.slot_brokers.is_none() {
        return;
    }
    tokio::join!(
        send_calls(controller, socket),
        expire_loop(controller, socket),
        deny_when_leaving(controller)
    );
}

/// Passes the traffic thread's requests on.
async fn send_calls<A: Adapter>(controller: &Controller<A>, socket: &UdpSocket) {
    loop {
        for call in controller.shared.next_slot_calls().await {
            let outputs = controller.apply_slot_call(call);
            perform(controller, socket, outputs);
        }
        controller.slots.broker_used.notify_one();
    }
}

/// Ends expired requests and leases at the broker while it has any.
async fn expire_loop<A: Adapter>(controller: &Controller<A>, socket: &UdpSocket) {
    let slots = &controller.slots;
    loop {
        slots.broker_used.notified().await;
        while !slots.exchange.borrow().is_idle() {
            controller.publish_slot_stats();
            sleep(EXPIRY_INTERVAL).await;
            let now = controller.clock.now();
            let outputs = slots.exchange.borrow_mut().expire(now);
            perform(controller, socket, outputs);
        }
        controller.publish_slot_stats();
    }
}

async fn deny_when_leaving<A: Adapter>(controller: &Controller<A>) {
    let mut leaving = controller.shared.subscribe_leaving();
    if leaving.wait_for(|leaving| *leaving).await.is_ok() {
        controller.slots.exchange.borrow_mut().start_leaving();
    }
}

/// Handles a message of another instance about slots.
pub fn receive<A: Adapter>(
    controller: &Controller<A>,
    socket: &UdpSocket,
    from: SocketAddr,
    message: Result<SlotMessage, SlotWireError>,
) {
    if controller.settings.slot_brokers.is_none() {
        // The sender takes this instance for unresponsive, and goes by its own estimates.
        return log::debug!("message about slots from {from}: the settings do not enable them");
    }
    let message = match message {
        Ok(message) => message,
        Err(error) => {
            let event = events::MESSAGE_REFUSED;
            return log::warn!("{event} message about slots from {from}: {error}");
        }
    };
    let slots = &controller.slots;
    let now = controller.clock.now();
    let outputs = slots
        .exchange
        .borrow_mut()
        .receive(from, message, now, rand::random());
    perform(controller, socket, outputs);
    slots.broker_used.notify_one();
}

/// Sends messages and passes answers on to the traffic thread. A datagram for which the
/// socket has no room counts as lost, which the exchange allows for.
fn perform<A: Adapter>(controller: &Controller<A>, socket: &UdpSocket, outputs: Vec<SlotOutput>) {
    for output in outputs {
        match output {
            SlotOutput::Send(address, message) => {
                if let Some(bytes) = Datagram::from(&message).encode()
                    && let Err(error) = socket.try_send_to(&bytes, address)
                {
                    log::debug!("cannot send a datagram to {address}: {error}");
                }
            }
            SlotOutput::Answer(number, answer) => {
                controller.metrics.count_slot_answer(&answer);
                if let Some(reply) = controller.slots.replies.borrow().get(&number) {
                    reply.send_replace(Some(answer));
                }
            }
        }
    }
}

impl<A: Adapter> Controller<A> {
    fn apply_slot_call(&self, call: SlotCall) -> Vec<SlotOutput> {
        let Slots {
            exchange, replies, ..
        } = &self.slots;
        let mut exchange = exchange.borrow_mut();
        let now = self.clock.now();
        match call {
            SlotCall::Ask {
                number,
                broker,
                request,
                reply,
            } => {
                replies.borrow_mut().insert(number, reply);
                exchange.ask(number, broker, request, now, rand::random())
            }
            SlotCall::Repeat {
                number,
                broker,
                request,
            } => exchange.ask(number, broker, request, now, rand::random()),
            SlotCall::Release { number, outcome } => {
                replies.borrow_mut().remove(&number);
                exchange.release(number, outcome, now)
            }
        }
    }

    fn publish_slot_stats(&self) {
        let stats = self.slots.exchange.borrow().stats();
        self.metrics.slot_leases.set(stats.leases as i64);
        self.metrics.slot_queue.set(stats.queued as i64);
    }

    /// Instances that may be brokers, this one included, for the view to be published.
    pub fn update_broker_candidates(&self) -> Arc<[BrokerCandidate]> {
        let candidates: Arc<[BrokerCandidate]> = self.broker_candidates().into();
        *self.slots.published.borrow_mut() = Arc::clone(&candidates);
        candidates
    }

    /// Whether other instances may be brokers than those in the last published view.
    pub fn broker_candidates_changed(&self) -> bool {
        **self.slots.published.borrow() != *self.broker_candidates()
    }

    /// Instances that are not known to be lost or leaving, ordered by name; none if the
    /// settings do not enable brokers.
    fn broker_candidates(&self) -> Vec<BrokerCandidate> {
        if self.settings.slot_brokers.is_none() {
            return Vec::new();
        }
        let now = self.clock.now();
        let state = self.state.borrow();
        let peers = state.peers.present(now).filter_map(|(name, peer)| {
            Some(BrokerCandidate {
                instance: name.clone(),
                domain: peer.domain.clone()?,
                address: peer.address,
            })
        });
        let own = (!self.is_leaving()).then(|| BrokerCandidate {
            instance: self.settings.instance.clone(),
            domain: self.settings.domain.clone(),
            address: self.settings.peer_address,
        });
        peers.chain(own).collect()
    }
}
