//! How an instance that starts learns of the others, and they of it.
//!
//! Each enters itself into a table of the store. Where they are many, reading all of it at
//! each start would cost the square of their number: a start reads the first few rows, makes
//! itself known to these instances, and asks them for the others. As every start does so,
//! they know all that were entered.

use {
    super::{codec::MemberWire, node::Node, relay, watch::CALL_TIME, watch::jitter},
    crate::events,
    citron_core::{
        freshness::{FreshnessTimes, Role},
        id::InstanceId,
    },
    citron_ports::{Adapter, IdleTimeout, RowCommit, RowStore, RowTable, StoreError},
    citron_wire::relay::TableRowWire,
    rand::seq::IndexedRandom,
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// Rows that a start reads. More than the instances that all hear each other, so that these
/// learn of each other from the store alone.
const FIRST_ROWS: usize = 20;
/// Pauses between the questions for the others: of instances that start together, some are
/// entered seconds later, as the store takes so many writes a second.
const ASK_PAUSES: [Duration; 3] = [
    Duration::from_secs(1),
    Duration::from_secs(3),
    Duration::from_secs(8),
];
/// Instances that are asked before all rows are read after all.
const ASKED_MAX: usize = 3;

/// Enters this instance into the table of members and learns of the others. Written first
/// and read then, so that of two which start at once at least one learns of the other.
pub async fn enlist<A: Adapter>(node: Rc<Node<A>>) {
    let Ok(value) = serde_json::to_vec(&own(&node)) else {
        return;
    };
    write(&node, value).await;
    let contacts = read_first(&node).await;
    if let Some(contacts) = &contacts {
        node.greetings.borrow_mut().extend(contacts);
        if !ask_any(&node, contacts).await {
            read_all(&node).await;
        }
    }
    node.enlisted.set(Some(node.clock.now()));
    node.hurry.notify_one();
    for pause in ASK_PAUSES {
        let Some(contacts) = &contacts else { return };
        sleep(pause.mul_f64(jitter())).await;
        ask_any(&node, contacts).await;
    }
}

/// All members that an instance knows, itself included, for one that has started.
pub fn known<A: Adapter>(node: &Node<A>) -> Vec<TableRowWire> {
    let state = node.state.borrow();
    let others = state.peers.iter().filter_map(|(name, peer)| {
        let domain = peer.domain.as_ref()?.to_string();
        let address = peer.address;
        row(name, &MemberWire { address, domain })
    });
    let own = row(&node.settings.instance, &own(node));
    own.into_iter().chain(others).collect()
}

fn row(name: &InstanceId, member: &MemberWire) -> Option<TableRowWire> {
    let value = serde_json::to_vec(member).ok()?;
    Some(TableRowWire {
        key: name.to_string(),
        value: Some(value),
        version: 0,
    })
}

fn own<A: Adapter>(node: &Node<A>) -> MemberWire {
    MemberWire {
        address: node.settings.peer,
        domain: node.settings.domain.to_string(),
    }
}

async fn write<A: Adapter>(node: &Node<A>, value: Vec<u8>) {
    let key = node.settings.instance.to_string();
    let commit = RowCommit {
        writes: vec![(RowTable::Members, key, value)],
        ..RowCommit::default()
    };
    let mut retry = Retry::default();
    loop {
        let begun = node.clock.now();
        match node.adapter.store().commit(&commit).await {
            Ok(_) => return node.store_answered(begun, None),
            Err(error) => retry.after(node, &error).await,
        }
    }
}

/// Reads the first members; where these are not all, how others of them are reached.
async fn read_first<A: Adapter>(node: &Node<A>) -> Option<Vec<SocketAddr>> {
    let mut retry = Retry::default();
    loop {
        let begun = node.clock.now();
        let mut idle = IdleTimeout::new(CALL_TIME, CALL_TIME);
        let store = node.adapter.store();
        let read = store.first_rows(RowTable::Members, FIRST_ROWS, &mut idle);
        match read.await {
            Ok((set, more)) => {
                node.store_answered(begun, set.now);
                let rows = set.rows.iter().map(TableRowWire::from);
                let added = add(node, rows);
                return more.then_some(added);
            }
            Err(error) => retry.after(node, &error).await,
        }
    }
}

async fn read_all<A: Adapter>(node: &Node<A>) {
    let mut retry = Retry::default();
    loop {
        let begun = node.clock.now();
        let mut idle = IdleTimeout::new(CALL_TIME, CALL_TIME);
        let read = node.adapter.store().rows(RowTable::Members, &mut idle);
        match read.await {
            Ok(set) => {
                node.store_answered(begun, set.now);
                add(node, set.rows.iter().map(TableRowWire::from));
                return;
            }
            Err(error) => retry.after(node, &error).await,
        }
    }
}

/// Asks one of some instances for all that it knows, or another one if it does not answer;
/// whether one did.
async fn ask_any<A: Adapter>(node: &Node<A>, contacts: &[SocketAddr]) -> bool {
    let asked: Vec<SocketAddr> = {
        let mut rng = rand::rng();
        contacts
            .choose_multiple(&mut rng, ASKED_MAX)
            .copied()
            .collect()
    };
    for from in asked {
        match relay::fetch_members(node, from).await {
            Ok(rows) => {
                add(node, rows.into_iter());
                return true;
            }
            Err(error) => log::info!("{} members of {from}: {error}", events::TABLE_LOST),
        }
    }
    false
}

/// Learns of instances; where they are reached.
fn add<A: Adapter>(node: &Node<A>, rows: impl Iterator<Item = TableRowWire>) -> Vec<SocketAddr> {
    let now = node.clock.now();
    let mut added = Vec::new();
    for row in rows {
        let value = row.value.as_deref().unwrap_or_default();
        let (Ok(name), Ok(member)) = (row.key.parse(), serde_json::from_slice::<MemberWire>(value))
        else {
            log::error!("{} member {}", events::MAP_REFUSED, row.key);
            continue;
        };
        if name != node.settings.instance {
            let domain = member.domain.parse().ok();
            let mut state = node.state.borrow_mut();
            state.peers.add(name, member.address, domain, now);
            added.push(member.address);
        }
    }
    added
}

/// Instances that start together retry together: their writes go to one part of the store,
/// which takes so many a second.
#[derive(Debug, Default)]
struct Retry {
    failures: u32,
}

impl Retry {
    async fn after<A: Adapter>(&mut self, node: &Node<A>, error: &StoreError) {
        node.store_failed("members", error);
        let delay = FreshnessTimes::STANDARD.backoff(Role::Follower, self.failures);
        self.failures += 1;
        sleep(delay.mul_f64(jitter())).await;
    }
}
