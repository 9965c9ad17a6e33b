//! The keys that callers ask for, on their way to the planner.

use {
    super::{controller::Node, heartbeat::send_to},
    citron_core::ranges::RangeKey,
    citron_ports::Adapter,
    citron_wire::heartbeat::{Datagram, KeysWire},
    std::{collections::BTreeMap, time::Duration},
    tokio::{net::UdpSocket, time::sleep},
};

/// Time between two reports. A range of keys that turns hot loses its callers for so
/// long; with hundreds of instances heartbeats are rarer.
const EVERY: Duration = Duration::from_millis(150);
/// Keys in one datagram at most.
const KEYS: usize = 400;

/// Tells the planner of the keys that callers ask for, for good.
pub async fn report<A: Adapter>(node: &Node<A>, socket: &UdpSocket) {
    loop {
        send(node, socket).await;
        sleep(EVERY).await;
    }
}

async fn send<A: Adapter>(node: &Node<A>, socket: &UdpSocket) {
    let keys = node.board.take_keys();
    if keys.is_empty() {
        return;
    }
    let mut services: BTreeMap<String, Vec<u16>> = BTreeMap::new();
    for (service, key) in keys {
        services.entry(service.to_string()).or_default().push(key.0);
    }
    if node.state.borrow().planning {
        for (service, keys) in services {
            node.note_keys(&service, &keys);
        }
        return;
    }
    let planner = {
        let state = node.state.borrow();
        let leadership = state.leadership.as_ref();
        leadership
            .and_then(|leadership| state.peers.get(&leadership.holder.instance))
            .map(|peer| peer.address)
    };
    let Some(planner) = planner else { return };
    for (service, keys) in services {
        for part in keys.chunks(KEYS) {
            let service = service.clone();
            let keys = part.to_vec();
            if let Some(bytes) = Datagram::Keys(vec![KeysWire { service, keys }]).encode() {
                send_to(socket, &bytes, planner).await;
            }
        }
    }
}

impl<A: Adapter> Node<A> {
    /// Counts requests for keys, if this instance plans. A sudden change is looked at
    /// at once.
    pub fn note_keys(&self, service: &str, keys: &[u16]) {
        let Ok(service) = service.parse() else { return };
        let now = self.clock.now();
        let mut demands = self.demands.borrow_mut();
        for key in keys {
            demands.add(&service, RangeKey(*key), now);
        }
        if demands.look(&service, now) {
            self.wake.notify_one();
        }
    }
}
