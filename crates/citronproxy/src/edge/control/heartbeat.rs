//! UDP datagrams between instances: heartbeats, reports of requested keys, and key moves.

use {
    super::{
        controller::Controller, key_report, moves, peers::HeartbeatRound, permits, refresh, relay,
        slots, statements,
    },
    crate::{edge::EdgeError, events},
    citron_core::{
        crash::CrashReport,
        freshness::{HeartbeatSchedule, PropagationTimes, Sender},
        id::{Incarnation, InstanceId},
        time::Time,
    },
    citron_ports::Adapter,
    citron_wire::heartbeat::{Datagram, Heartbeat, MAX_DATAGRAM_BYTES},
    std::{io::ErrorKind, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{net::UdpSocket, time::timeout},
};

/// Largest number of peers appearing between two views that are logged one by one; beyond
/// it, only their count is logged.
pub const LOGGED_PEERS_MAX: usize = 8;
/// Largest number of datagrams handled before other tasks run.
const RECEIVE_BATCH_MAX: usize = 64;
/// If the socket was last empty longer ago than this, the process was suspended or
/// starved, and its datagrams may have been queued since. They then count as sent when
/// the socket was last empty, so that the ages they report are not underestimated.
const QUEUE_DELAY_MAX: Duration = Duration::from_millis(200);

/// Binds the UDP socket.
///
/// # Errors
/// If the address is taken.
pub async fn bind(address: SocketAddr) -> Result<UdpSocket, EdgeError> {
    let bound = UdpSocket::bind(address).await;
    bound.map_err(|source| EdgeError::Listen {
        address: address.to_string(),
        source,
    })
}

/// Sends and receives datagrams until the process exits.
pub async fn run<A: Adapter>(controller: Rc<Controller<A>>, socket: UdpSocket) {
    tokio::join!(
        send_loop(&controller, &socket),
        key_report::run(&controller, &socket),
        moves::run(&controller, &socket),
        permits::run(&controller, &socket),
        slots::run(&controller, &socket),
        receive_loop(&controller, &socket)
    );
}

async fn send_loop<A: Adapter>(controller: &Rc<Controller<A>>, socket: &UdpSocket) {
    let mut round_number = 0;
    loop {
        let now = controller.clock.now();
        send_heartbeats(controller, socket, round_number).await;
        round_number += 1;
        let pause = {
            let state = controller.state.borrow();
            let reporting_count = state
                .peers
                .reporting_count(&controller.settings.domain, now);
            let sender = match state.is_planning {
                true => Sender::Planner,
                false => Sender::SameDomain,
            };
            HeartbeatSchedule::for_instances(reporting_count).interval(sender)
        };
        if timeout(pause, controller.heartbeat_trigger.notified())
            .await
            .is_ok()
        {
            // The change is sent to all recipients at once: round 0 includes those that
            // most rounds skip.
            round_number = 0;
        }
    }
}

async fn send_heartbeats<A: Adapter>(controller: &Controller<A>, socket: &UdpSocket, number: u64) {
    let recipients = {
        let state = controller.state.borrow();
        let round = HeartbeatRound {
            number,
            domain: &controller.settings.domain,
            planner: state
                .leadership
                .as_ref()
                .map(|leadership| &leadership.planner.instance),
            is_planner: state.is_planning,
        };
        state.peers.recipients(&round, controller.clock.now())
    };
    if recipients.is_empty() {
        return;
    }
    let heartbeat = controller.heartbeat();
    let without_loads = Heartbeat {
        loads: Vec::new(),
        ..heartbeat.clone()
    };
    let (Some(without_loads), Some(full)) = (
        without_loads.encode_truncated(),
        heartbeat.encode_truncated(),
    ) else {
        return log::error!(
            "{} a heartbeat does not fit into a datagram",
            events::MESSAGE_REFUSED
        );
    };
    let statements = statements::encode(controller);
    for recipient in recipients {
        if let Some(statements) = &statements {
            send_datagram(socket, statements, recipient.address).await;
        }
        let bytes = if recipient.with_loads {
            &full
        } else {
            &without_loads
        };
        send_datagram(socket, bytes, recipient.address).await;
    }
}

/// Sends a datagram. Failures are only logged: the information is sent again with the
/// next one.
pub async fn send_datagram(socket: &UdpSocket, bytes: &[u8], address: SocketAddr) {
    if let Err(error) = socket.send_to(bytes, address).await {
        log::debug!("cannot send a datagram to {address}: {error}");
    }
}

async fn receive_loop<A: Adapter>(controller: &Rc<Controller<A>>, socket: &UdpSocket) {
    // When the socket was last seen empty.
    let mut drained_at = controller.clock.now();
    loop {
        let wait_started = controller.clock.now();
        match timeout(PropagationTimes::STANDARD.poll_interval, socket.readable()).await {
            Ok(Ok(())) => drained_at = receive_batch(controller, socket, drained_at),
            Ok(Err(error)) => log::debug!("cannot wait for datagrams: {error}"),
            Err(_) => drained_at = wait_started,
        }
    }
}

/// Handles the datagrams that have arrived since `drained_at`, when the socket was last
/// empty. Returns when it was last empty now.
fn receive_batch<A: Adapter>(
    controller: &Rc<Controller<A>>,
    socket: &UdpSocket,
    drained_at: Time,
) -> Time {
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    for _ in 0..RECEIVE_BATCH_MAX {
        let now = controller.clock.now();
        match socket.try_recv_from(&mut buffer) {
            Ok((size, from)) => {
                let sent = if now - drained_at > QUEUE_DELAY_MAX {
                    drained_at
                } else {
                    now
                };
                if handle_datagram(controller, socket, from, &buffer[..size], sent) {
                    reply_to_new_peer(controller, socket, from);
                }
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => return now,
            Err(error) => log::debug!("cannot receive a datagram: {error}"),
        }
    }
    drained_at
}

/// Answers the first heartbeat of a peer, to this peer only. When all instances start at
/// once, a full round for each new peer would send a number of datagrams that is the
/// square of the number of instances.
fn reply_to_new_peer<A: Adapter>(controller: &Controller<A>, socket: &UdpSocket, to: SocketAddr) {
    let heartbeat = Heartbeat {
        loads: Vec::new(),
        ..controller.heartbeat()
    };
    let Some(bytes) = heartbeat.encode_truncated() else {
        return log::error!(
            "{} a heartbeat does not fit into a datagram",
            events::MESSAGE_REFUSED
        );
    };
    if let Err(error) = socket.try_send_to(&bytes, to) {
        log::debug!("cannot send a datagram to {to}: {error}");
    }
}

/// Handles a datagram that was sent at `sent`, as far as is known. Returns whether its
/// sender was unknown, lost or restarted before.
fn handle_datagram<A: Adapter>(
    controller: &Rc<Controller<A>>,
    socket: &UdpSocket,
    from: SocketAddr,
    bytes: &[u8],
    sent: Time,
) -> bool {
    match Datagram::decode(bytes) {
        Some(Datagram::Heartbeat(heartbeat)) => {
            return handle_heartbeat(controller, from, heartbeat, sent);
        }
        Some(Datagram::Keys(keys)) => {
            for report in keys {
                controller.record_keys(&report.service, &report.keys);
            }
        }
        Some(Datagram::Moves(moves)) => controller.apply_moves(moves),
        Some(Datagram::Statements(wire)) => statements::apply(controller, wire, sent),
        Some(Datagram::PermitRequest(wire)) => {
            permits::answer_request(controller, socket, from, wire);
        }
        Some(Datagram::PermitAnswer(wire)) => permits::apply_answer(controller, wire),
        Some(Datagram::SlotRequest(wire)) => {
            slots::receive(controller, socket, from, wire.try_into());
        }
        Some(Datagram::SlotAnswer(wire)) => {
            slots::receive(controller, socket, from, Ok(wire.into()));
        }
        Some(Datagram::SlotRelease(wire)) => {
            slots::receive(controller, socket, from, wire.try_into());
        }
        None => {
            let size = bytes.len();
            log::warn!(
                "{} cannot decode {size} bytes from {from}",
                events::MESSAGE_REFUSED
            );
        }
    }
    false
}

fn handle_heartbeat<A: Adapter>(
    controller: &Rc<Controller<A>>,
    from: SocketAddr,
    heartbeat: Heartbeat,
    sent: Time,
) -> bool {
    let Ok(name) = heartbeat.instance.parse::<InstanceId>() else {
        return false;
    };
    if name == controller.settings.instance {
        return false;
    }
    let now = controller.clock.now();
    if controller.reports_loads(&heartbeat) {
        let loads = heartbeat.loads.iter();
        let loads = loads.filter_map(|load| load.clone().try_into().ok());
        let mut load_book = controller.shared.loads();
        load_book.apply_report(name.clone(), loads.collect(), now);
    }
    controller.merge_crashes(&name, &heartbeat);
    controller.record_peer_config_version(&heartbeat);
    refresh::apply_peer_ages(controller, &heartbeat, sent);
    relay::fetch_newer_tables(controller, from, &heartbeat);
    let is_new = controller
        .state
        .borrow_mut()
        .peers
        .apply_heartbeat(&name, from, heartbeat, sent, now);
    if is_new {
        let count = controller.new_peers.get() + 1;
        controller.new_peers.set(count);
        if count <= LOGGED_PEERS_MAX {
            log::info!("{} {name} at {from}", events::INSTANCE_HEARD);
        }
    }
    is_new
}

impl<A: Adapter> Controller<A> {
    /// Merges the crashes that a heartbeat reports.
    fn merge_crashes(&self, name: &InstanceId, heartbeat: &Heartbeat) {
        let Some(crashes) = heartbeat.crashes.clone() else {
            return;
        };
        let mut report = match CrashReport::try_from(crashes) {
            Ok(report) => report,
            Err(error) => {
                let event = events::MESSAGE_REFUSED;
                return log::warn!("{event} crashes from {name}: {error}");
            }
        };
        // This instance's own counts come back to it.
        report.relayed.retain(|relayed| {
            relayed.instance != self.settings.instance || relayed.incarnation.0 != self.incarnation
        });
        let sender = (name.clone(), Incarnation(heartbeat.start));
        let now = self.clock.now();
        self.shared.crashes().merge(sender, report, now);
    }

    /// Whether a heartbeat reports its sender's loads. An empty list may mean either that
    /// the sender has no loads or that this instance is not a recipient of them.
    fn reports_loads(&self, heartbeat: &Heartbeat) -> bool {
        if !heartbeat.loads.is_empty() {
            return true;
        }
        heartbeat.domain == self.settings.domain.as_str()
            || self.state.borrow().peers.is_full_mesh()
    }
}
