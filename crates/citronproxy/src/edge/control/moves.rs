//! Keys on their way, told to all instances ahead of the map.

use {
    super::{gossip::send_to, node::Node},
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

/// Pieces of news in one datagram at most; fewer if their names are long.
const NEWS: usize = 40;

/// How long news waits for more: hundreds of grants end within some milliseconds.
const GATHER: Duration = Duration::from_millis(15);

/// News that wait to be sent.
#[derive(Debug, Default)]
pub struct Outbox {
    waiting: RefCell<Vec<(ServiceName, MoveNotice)>>,
    filled: Notify,
}

/// Sends news to all instances for good.
pub async fn report<A: Adapter>(node: &Node<A>, socket: &UdpSocket) {
    loop {
        node.outbox.filled.notified().await;
        sleep(GATHER).await;
        let mut waiting = node.outbox.waiting.take();
        waiting.sort_by(|(a, _), (b, _)| a.cmp(b));
        for part in waiting.chunk_by(|(a, _), (b, _)| a == b) {
            for news in part.chunks(NEWS) {
                send(node, socket, news).await;
            }
        }
    }
}

/// Sends news of one service in as many datagrams as it takes.
async fn send<A: Adapter>(node: &Node<A>, socket: &UdpSocket, news: &[(ServiceName, MoveNotice)]) {
    let others = node.state.borrow().peers.addresses(node.clock.now());
    let mut parts = vec![news];
    while let Some(part) = parts.pop() {
        let Some(bytes) = encode(part) else {
            match part.len() {
                0 | 1 => log::warn!("{} news of a move is too long", events::DATAGRAM_REFUSED),
                many => parts.extend([&part[..many / 2], &part[many / 2..]]),
            }
            continue;
        };
        for to in &others {
            send_to(socket, &bytes, *to).await;
        }
    }
}

fn encode(news: &[(ServiceName, MoveNotice)]) -> Option<Vec<u8>> {
    let (service, _) = news.first()?;
    let moves = news.iter().map(|(_, news)| news.clone().into());
    let wire = MovesWire {
        service: service.to_string(),
        moves: moves.collect(),
    };
    Datagram::Moves(wire).encode()
}

impl<A: Adapter> Node<A> {
    /// Tells all instances, this one included, which keys their owners give up.
    pub fn announce_releases(&self, orders: &[(ServiceName, Order)]) {
        let releases = orders.iter().filter_map(|(service, order)| match order {
            Order::Release { range, epoch, .. } => {
                let news = MoveNotice {
                    range: *range,
                    epoch: *epoch,
                    hint: OwnerHint::Released,
                };
                Some((service.clone(), news))
            }
            Order::Grant(_) | Order::Commit(_) => None,
        });
        self.announce(releases.collect());
    }

    /// Tells all instances that a server holds the keys of a slice now.
    pub fn announce_owner(&self, service: &ServiceName, slice: &Slice) {
        let Some(owner) = &slice.owner else { return };
        let news = MoveNotice {
            range: slice.range,
            epoch: slice.epoch,
            hint: OwnerHint::Owned(owner.clone()),
        };
        self.announce(vec![(service.clone(), news)]);
    }

    fn announce(&self, news: Vec<(ServiceName, MoveNotice)>) {
        if news.is_empty() {
            return;
        }
        let now = self.clock.now();
        for (service, news) in &news {
            self.board.note_move(service, news.clone(), now);
        }
        self.outbox.waiting.borrow_mut().extend(news);
        self.outbox.filled.notify_one();
    }

    /// Takes in what the planner tells.
    pub fn hear_moves(&self, wire: MovesWire) {
        let Ok(service) = wire.service.parse() else {
            return;
        };
        let now = self.clock.now();
        for news in wire.moves {
            match MoveNotice::try_from(news) {
                Ok(news) => self.board.note_move(&service, news, now),
                Err(error) => log::warn!("{} {error}", events::DATAGRAM_REFUSED),
            }
        }
    }
}
