//! Permits for requests to servers with rate limits. The planner issues them for all
//! instances.

use {
    super::{controller::Controller, heartbeat::send_datagram},
    crate::{edge::shared::PermitCall, events},
    citron_core::dispatch::{PermitAnswer, PermitIssuer, PermitRequest},
    citron_ports::Adapter,
    citron_wire::heartbeat::{Datagram, PermitAnswerWire, PermitRequestWire},
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        net::SocketAddr,
    },
    tokio::{net::UdpSocket, sync::oneshot},
};

/// State of asking for permits and issuing them.
#[derive(Debug, Default)]
pub struct Permits {
    /// Issues permits while this instance is the planner.
    pub issuer: RefCell<PermitIssuer>,
    /// Requests sent to the planner, by their numbers.
    pending: RefCell<BTreeMap<u64, oneshot::Sender<PermitAnswer>>>,
    last_number: Cell<u64>,
}

/// Sends the traffic thread's requests for permits to the planner until the process exits.
pub async fn run<A: Adapter>(controller: &Controller<A>, socket: &UdpSocket) {
    loop {
        for call in controller.shared.next_permit_calls().await {
            ask_planner(controller, socket, call).await;
        }
        let mut pending = controller.permits.pending.borrow_mut();
        pending.retain(|_, reply| !reply.is_closed());
    }
}

async fn ask_planner<A: Adapter>(
    controller: &Controller<A>,
    socket: &UdpSocket,
    PermitCall { request, reply }: PermitCall,
) {
    if controller.state.borrow().is_planning {
        // The request has ended if its receiver is gone.
        let _ = reply.send(controller.decide_permit(&request));
        return;
    }
    let Some(planner) = controller.planner_address() else {
        return;
    };
    let permits = &controller.permits;
    let number = permits.last_number.get() + 1;
    permits.last_number.set(number);
    permits.pending.borrow_mut().insert(number, reply);
    let wire = PermitRequestWire::new(number, &request);
    if let Some(bytes) = Datagram::PermitRequest(wire).encode() {
        send_datagram(socket, &bytes, planner).await;
    }
}

/// Answers another instance's request for a permit, if this instance is the planner.
pub fn answer_request<A: Adapter>(
    controller: &Controller<A>,
    socket: &UdpSocket,
    from: SocketAddr,
    wire: PermitRequestWire,
) {
    if !controller.state.borrow().is_planning {
        return;
    }
    let number = wire.number;
    let request = match PermitRequest::try_from(wire) {
        Ok(request) => request,
        Err(error) => {
            let event = events::MESSAGE_REFUSED;
            return log::warn!("{event} request for a permit from {from}: {error}");
        }
    };
    let answer = PermitAnswerWire::new(number, controller.decide_permit(&request));
    if let Some(bytes) = Datagram::PermitAnswer(answer).encode()
        && let Err(error) = socket.try_send_to(&bytes, from)
    {
        log::debug!("cannot send a datagram to {from}: {error}");
    }
}

/// Passes the planner's answer on to the request that waits for it, if it still does.
pub fn apply_answer<A: Adapter>(controller: &Controller<A>, wire: PermitAnswerWire) {
    let pending = &controller.permits.pending;
    if let Some(reply) = pending.borrow_mut().remove(&wire.number) {
        // The request has ended if its receiver is gone.
        let _ = reply.send(wire.into());
    }
}

impl<A: Adapter> Controller<A> {
    fn decide_permit(&self, request: &PermitRequest) -> PermitAnswer {
        let mut issuer = self.permits.issuer.borrow_mut();
        let answer = issuer.decide(request, self.clock.now());
        self.metrics.count_permit(answer == PermitAnswer::Granted);
        answer
    }

    /// Address of the planner; `None` if it is unknown or this instance itself.
    pub fn planner_address(&self) -> Option<SocketAddr> {
        let state = self.state.borrow();
        let leadership = state.leadership.as_ref()?;
        let peer = state.peers.get(&leadership.planner.instance)?;
        Some(peer.address)
    }
}
