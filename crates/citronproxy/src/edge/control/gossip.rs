//! Heartbeats between instances, over UDP.

use {
    super::{keys, moves, node::Node, peers::Round, refresh, relay},
    crate::{edge::EdgeError, events},
    citron_core::{
        freshness::{HeartbeatSchedule, PropagationTimes, Sender},
        id::{Incarnation, InstanceId},
        time::Time,
    },
    citron_ports::Adapter,
    citron_wire::heartbeat::{DATAGRAM_MAX, Datagram, Heartbeat},
    std::{io::ErrorKind, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{net::UdpSocket, time::timeout},
};

/// Instances heard anew together, up to which each has a log line.
pub const LOGGED_MAX: usize = 8;
/// Datagrams that are taken before other tasks have their turn.
const BATCH: usize = 64;
/// Datagrams that are read longer after the socket was empty count as sent then: the
/// process was suspended or starved, and they may have waited since.
const QUEUED_MAX: Duration = Duration::from_millis(200);

/// Listens for datagrams.
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

/// Sends and takes datagrams for good.
pub async fn run<A: Adapter>(node: Rc<Node<A>>, socket: UdpSocket) {
    tokio::join!(
        send(&node, &socket),
        keys::report(&node, &socket),
        moves::report(&node, &socket),
        receive(&node, &socket)
    );
}

async fn send<A: Adapter>(node: &Rc<Node<A>>, socket: &UdpSocket) {
    let mut number = 0;
    loop {
        let now = node.clock.now();
        send_heartbeats(node, socket, number).await;
        number += 1;
        let pause = {
            let state = node.state.borrow();
            let reporting = state.peers.reporting(&node.settings.domain, now);
            let sender = match state.planning {
                true => Sender::Planner,
                false => Sender::SameDomain,
            };
            HeartbeatSchedule::for_instances(reporting).interval(sender)
        };
        if timeout(pause, node.hurry.notified()).await.is_ok() {
            // Something that all should know at once.
            number = 0;
        }
    }
}

async fn send_heartbeats<A: Adapter>(node: &Node<A>, socket: &UdpSocket, number: u64) {
    let due = {
        let state = node.state.borrow();
        let round = Round {
            number,
            domain: &node.settings.domain,
            planner: state
                .leadership
                .as_ref()
                .map(|leadership| &leadership.holder.instance),
            planning: state.planning,
        };
        state.peers.due(&round, node.clock.now())
    };
    if due.is_empty() {
        return;
    }
    let heartbeat = node.heartbeat();
    let short = Heartbeat {
        loads: Vec::new(),
        ..heartbeat.clone()
    };
    let (Some(short), Some(whole)) = (short.encode_fitting(), heartbeat.encode_fitting()) else {
        return log::error!("{} a heartbeat is too long", events::DATAGRAM_REFUSED);
    };
    for to in due {
        let bytes = if to.loads { &whole } else { &short };
        send_to(socket, bytes, to.address).await;
    }
}

/// Sends a datagram; what is lost is sent again with the next one.
pub async fn send_to(socket: &UdpSocket, bytes: &[u8], address: SocketAddr) {
    if let Err(error) = socket.send_to(bytes, address).await {
        log::debug!("a datagram to {address}: {error}");
    }
}

async fn receive<A: Adapter>(node: &Rc<Node<A>>, socket: &UdpSocket) {
    // When no datagram was waiting.
    let mut empty = node.clock.now();
    loop {
        let begun = node.clock.now();
        match timeout(PropagationTimes::STANDARD.poll_interval, socket.readable()).await {
            Ok(Ok(())) => empty = take_waiting(node, socket, empty),
            Ok(Err(error)) => log::debug!("receive datagrams: {error}"),
            Err(_) => empty = begun,
        }
    }
}

/// Takes datagrams that have come since a moment; when none was waiting any more.
fn take_waiting<A: Adapter>(node: &Rc<Node<A>>, socket: &UdpSocket, empty: Time) -> Time {
    let mut buffer = [0; DATAGRAM_MAX + 1];
    for _ in 0..BATCH {
        let now = node.clock.now();
        match socket.try_recv_from(&mut buffer) {
            Ok((size, from)) => {
                let sent = if now - empty > QUEUED_MAX { empty } else { now };
                if take(node, from, &buffer[..size], sent) {
                    greet(node, socket, from);
                }
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => return now,
            Err(error) => log::debug!("receive a datagram: {error}"),
        }
    }
    empty
}

/// Answers the first heartbeat of an instance. Only that one is told: after a start of
/// all at once, a round to all for each that is heard would be their number squared.
fn greet<A: Adapter>(node: &Node<A>, socket: &UdpSocket, to: SocketAddr) {
    let heartbeat = Heartbeat {
        loads: Vec::new(),
        ..node.heartbeat()
    };
    let Some(bytes) = heartbeat.encode_fitting() else {
        return log::error!("{} a heartbeat is too long", events::DATAGRAM_REFUSED);
    };
    if let Err(error) = socket.try_send_to(&bytes, to) {
        log::debug!("a datagram to {to}: {error}");
    }
}

/// Takes a datagram that was sent then, as far as is known; whether its sender was not
/// known, or lost, before.
fn take<A: Adapter>(node: &Rc<Node<A>>, from: SocketAddr, bytes: &[u8], sent: Time) -> bool {
    match Datagram::decode(bytes) {
        Some(Datagram::Heartbeat(heartbeat)) => return hear(node, from, heartbeat, sent),
        Some(Datagram::Keys(keys)) => {
            for part in keys {
                node.note_keys(&part.service, &part.keys);
            }
        }
        Some(Datagram::Moves(moves)) => node.hear_moves(moves),
        None => {
            let size = bytes.len();
            log::warn!("{} {size} bytes from {from}", events::DATAGRAM_REFUSED);
        }
    }
    false
}

fn hear<A: Adapter>(
    node: &Rc<Node<A>>,
    from: SocketAddr,
    heartbeat: Heartbeat,
    sent: Time,
) -> bool {
    let Ok(name) = heartbeat.instance.parse::<InstanceId>() else {
        return false;
    };
    if name == node.settings.instance {
        return false;
    }
    let now = node.clock.now();
    if node.hears_loads(&heartbeat) {
        let loads = heartbeat.loads.iter();
        let loads = loads.filter_map(|load| load.clone().try_into().ok());
        let mut book = node.board.loads();
        book.report(name.clone(), loads.collect(), now);
    }
    if let Some(crashes) = heartbeat.crashes.clone() {
        let sender = (name.clone(), Incarnation(heartbeat.start));
        node.board.crashes().merge(sender, crashes.into(), now);
    }
    node.hear_newest(&heartbeat);
    refresh::hear_ages(node, &heartbeat, sent);
    relay::catch_up(node, from, &heartbeat);
    let new = node
        .state
        .borrow_mut()
        .peers
        .heard(&name, from, heartbeat, now);
    if new {
        let heard = node.heard_anew.get() + 1;
        node.heard_anew.set(heard);
        if heard <= LOGGED_MAX {
            log::info!("{} {name} at {from}", events::PEER_HEARD);
        }
    }
    new
}

impl<A: Adapter> Node<A> {
    /// Whether a heartbeat tells its sender's loads. Without any it may say that there
    /// are none, or only that this instance is not told.
    fn hears_loads(&self, heartbeat: &Heartbeat) -> bool {
        if !heartbeat.loads.is_empty() {
            return true;
        }
        heartbeat.domain == self.settings.domain.as_str() || self.state.borrow().peers.hears_all()
    }
}
