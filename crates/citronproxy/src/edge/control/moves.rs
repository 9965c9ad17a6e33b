//! Broadcast of key moves to all instances, ahead of the map that the planner commits.

use {
    super::{controller::Controller, heartbeat::send_datagram},
    crate::events,
    citron_core::{
        id::ServiceName,
        ranges::{MoveNotice, Order, OwnerHint, Slice},
    },
    citron_ports::Adapter,
    citron_wire::heartbeat::{Datagram, MovesWire},
    std::{cell::RefCell, time::Duration},
    tokio::{net::UdpSocket, sync::Notify, time::sleep},
};

/// Largest number of moves in one datagram; fewer fit if their names are long.
const MOVES_PER_DATAGRAM_MAX: usize = 40;

/// How long a move waits so that others can share its datagram: hundreds of grants
/// complete within a few milliseconds.
const BATCH_DELAY: Duration = Duration::from_millis(15);

/// Moves that wait to be broadcast.
#[derive(Debug, Default)]
pub struct MoveOutbox {
    pending: RefCell<Vec<(ServiceName, MoveNotice)>>,
    pending_added: Notify,
}

/// Broadcasts moves to all instances until the process exits.
pub async fn run<A: Adapter>(controller: &Controller<A>, socket: &UdpSocket) {
    loop {
        controller.move_outbox.pending_added.notified().await;
        sleep(BATCH_DELAY).await;
        let mut pending = controller.move_outbox.pending.take();
        pending.sort_by(|(a, _), (b, _)| a.cmp(b));
        for part in pending.chunk_by(|(a, _), (b, _)| a == b) {
            for updates in part.chunks(MOVES_PER_DATAGRAM_MAX) {
                broadcast(controller, socket, updates).await;
            }
        }
    }
}

/// Sends moves of one service in as many datagrams as they need.
async fn broadcast<A: Adapter>(
    controller: &Controller<A>,
    socket: &UdpSocket,
    updates: &[(ServiceName, MoveNotice)],
) {
    let recipients = controller
        .state
        .borrow()
        .peers
        .active_addresses(controller.clock.now());
    let mut parts = vec![updates];
    while let Some(part) = parts.pop() {
        let Some(bytes) = encode(part) else {
            match part.len() {
                0 | 1 => log::warn!(
                    "{} a key move does not fit into a datagram",
                    events::MESSAGE_REFUSED
                ),
                many => parts.extend([&part[..many / 2], &part[many / 2..]]),
            }
            continue;
        };
        for recipient in &recipients {
            send_datagram(socket, &bytes, *recipient).await;
        }
    }
}

fn encode(updates: &[(ServiceName, MoveNotice)]) -> Option<Vec<u8>> {
    let (service, _) = updates.first()?;
    let moves = updates.iter().map(|(_, update)| update.clone().into());
    let wire = MovesWire {
        service: service.to_string(),
        moves: moves.collect(),
    };
    Datagram::Moves(wire).encode()
}

impl<A: Adapter> Controller<A> {
    /// Announces to all instances, including this one, which keys their owners are
    /// releasing.
    pub fn announce_releases(&self, orders: &[(ServiceName, Order)]) {
        let releases = orders.iter().filter_map(|(service, order)| match order {
            Order::Release { range, epoch, .. } => {
                let update = MoveNotice {
                    range: *range,
                    epoch: *epoch,
                    hint: OwnerHint::Released,
                };
                Some((service.clone(), update))
            }
            Order::Grant { .. } | Order::Probe { .. } | Order::Commit(_) => None,
        });
        self.announce(releases.collect());
    }

    /// Announces to all instances that the owner of a slice now holds its keys.
    pub fn announce_owner(&self, service: &ServiceName, slice: &Slice) {
        let Some(owner) = &slice.owner else { return };
        let update = MoveNotice {
            range: slice.range,
            epoch: slice.epoch,
            hint: OwnerHint::Owned(owner.clone()),
        };
        self.announce(vec![(service.clone(), update)]);
    }

    fn announce(&self, updates: Vec<(ServiceName, MoveNotice)>) {
        if updates.is_empty() {
            return;
        }
        let now = self.clock.now();
        for (service, update) in &updates {
            self.shared.record_move(service, update.clone(), now);
        }
        self.move_outbox.pending.borrow_mut().extend(updates);
        self.move_outbox.pending_added.notify_one();
    }

    /// Applies moves that the planner has announced.
    pub fn apply_moves(&self, wire: MovesWire) {
        let Ok(service) = wire.service.parse() else {
            return;
        };
        let now = self.clock.now();
        for update in wire.moves {
            match MoveNotice::try_from(update) {
                Ok(update) => self.shared.record_move(&service, update, now),
                Err(error) => log::warn!("{} {error}", events::MESSAGE_REFUSED),
            }
        }
    }
}
