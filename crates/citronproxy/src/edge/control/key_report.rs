//! Reports the keys that callers request to the planner.

use {
    super::{controller::Controller, heartbeat::send_datagram},
    citron_core::ranges::RangeKey,
    citron_ports::Adapter,
    citron_wire::heartbeat::{Datagram, KeysWire},
    std::{collections::BTreeMap, time::Duration},
    tokio::{net::UdpSocket, time::sleep},
};

/// Interval between two reports. For about this long after a key range becomes hot,
/// callers of its keys are rejected. Heartbeats do not carry the reports because they are
/// less frequent with hundreds of instances.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// Largest number of keys in one datagram.
const KEYS_PER_DATAGRAM_MAX: usize = 400;

/// Reports requested keys to the planner until the process exits.
pub async fn run<A: Adapter>(controller: &Controller<A>, socket: &UdpSocket) {
    loop {
        send_keys(controller, socket).await;
        sleep(REPORT_INTERVAL).await;
    }
}

async fn send_keys<A: Adapter>(controller: &Controller<A>, socket: &UdpSocket) {
    let keys = controller.shared.take_keys();
    if keys.is_empty() {
        return;
    }
    let mut services: BTreeMap<String, Vec<u16>> = BTreeMap::new();
    for (service, key) in keys {
        services.entry(service.to_string()).or_default().push(key.0);
    }
    if controller.state.borrow().is_planning {
        for (service, keys) in services {
            controller.record_keys(&service, &keys);
        }
        return;
    }
    let Some(planner_address) = controller.planner_address() else {
        return;
    };
    for (service, keys) in services {
        for chunk in keys.chunks(KEYS_PER_DATAGRAM_MAX) {
            let service = service.clone();
            let keys = chunk.to_vec();
            if let Some(bytes) = Datagram::Keys(vec![KeysWire { service, keys }]).encode() {
                send_datagram(socket, &bytes, planner_address).await;
            }
        }
    }
}

impl<A: Adapter> Controller<A> {
    /// Counts requests for keys, if this instance is the planner. A sudden change of the
    /// demand wakes the planner.
    pub fn record_keys(&self, service: &str, keys: &[u16]) {
        let Ok(service) = service.parse() else { return };
        let now = self.clock.now();
        let mut demands = self.demands.borrow_mut();
        for key in keys {
            demands.add(&service, RangeKey(*key), now);
        }
        if demands.check_sudden_change(&service, now) {
            self.plan_trigger.notify_one();
        }
    }
}
