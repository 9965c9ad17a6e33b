//! Follows the store's tables.

use {
    super::{codec::MemberWire, node::Node},
    citron_core::freshness::FreshnessTimes,
    citron_ports::{Adapter, RowCommit, RowStore, RowTable, StoreError},
    rand::Rng,
    std::{rc::Rc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Tables that are followed.
pub const WATCHED: [RowTable; 3] = [RowTable::Config, RowTable::Servers, RowTable::Ranges];

/// The place of the configuration among them.
pub const CONFIG: usize = 0;
/// The place of the servers' entries.
pub const SERVERS: usize = 1;
/// The place of the maps and the planner's leadership.
pub const RANGES: usize = 2;

/// How long the store keeps a question open. Each question is paid for, the
/// connection's own probes tell when it is dead, and the age of a table when a
/// question was swallowed.
const WAIT: Duration = Duration::from_secs(12);
/// The same where many instances fetch each change from the one that reads: with
/// twenty servers that start, each of which writes its entry every second, there
/// would be as many changes a second, times the instances.
const PAUSE_MANY: Duration = Duration::from_millis(250);
/// How often an instance that does not read looks whether it should.
const ROLE: Duration = Duration::from_millis(200);
/// Pause between two questions: changes come in groups, and one question for
/// all of a group is enough.
const PAUSE: Duration = Duration::from_millis(60);
/// Pause after a failure to enter this instance, on average.
const AGAIN: Duration = FreshnessTimes::STANDARD.again;
/// How long questions wait at most, after one has failed, until another call of
/// this instance is answered: tables that grow old are asked for anyway.
const OTHERS: Duration = Duration::from_secs(3);

/// Follows one table for good.
pub async fn follow<A: Adapter>(node: Rc<Node<A>>, at: usize, table: RowTable) {
    let mut whole = true;
    loop {
        if !whole && !node.reads(at) {
            sleep(ROLE).await;
            continue;
        }
        let begun = node.clock.now();
        let after = node.state.borrow().mirrors[at].version;
        let store = node.adapter.store();
        let read = match whole {
            true => store.rows(table).await,
            false => {
                let question = store.changes(table, after, WAIT);
                let Some(read) = node.questions.ask(at, begun, question).await else {
                    continue;
                };
                read
            }
        };
        match read {
            Ok(set) => {
                node.told(at, set, whole, begun);
                whole = false;
                sleep(node.pause()).await;
            }
            Err(StoreError::Forgotten) => whole = true,
            Err(error) => {
                node.store_failed(&format!("{table:?}"), &error);
                pause(&node).await;
            }
        }
    }
}

impl<A: Adapter> Node<A> {
    fn pause(&self) -> Duration {
        match self.state.borrow().peers.hears_all() {
            true => PAUSE,
            false => PAUSE_MANY,
        }
    }

    /// Whether this instance reads a table from the store, or hears of changes
    /// from another one of its failure domain. The planner follows the maps
    /// itself: it must know that it still has the leadership.
    pub fn reads(&self, at: usize) -> bool {
        let state = self.state.borrow();
        if state.planning && WATCHED[at] == RowTable::Ranges {
            return true;
        }
        let now = self.clock.now();
        let me = &self.settings;
        let before = state.peers.before(&me.instance, me.cpu, now);
        let mut before = before.filter(|(_, peer)| peer.domain.as_ref() == Some(&me.domain));
        before.next().is_none()
    }
}

async fn pause<A: Adapter>(node: &Node<A>) {
    let mut store = node.store.subscribe();
    // Either the store answers again, or it is time to ask all the same.
    let _ = timeout(OTHERS, store.wait_for(|answers| *answers)).await;
    sleep(PAUSE.mul_f64(jitter())).await;
}

/// Enters this instance into the table of members and learns of the others.
/// Written first and read then, so that of two which start at once at least one
/// learns of the other.
pub async fn enlist<A: Adapter>(node: Rc<Node<A>>) {
    let own = MemberWire {
        address: node.settings.peer,
        domain: node.settings.domain.to_string(),
    };
    let Ok(value) = serde_json::to_vec(&own) else {
        return;
    };
    let key = node.settings.instance.to_string();
    let commit = RowCommit {
        writes: vec![(RowTable::Members, key, value)],
        ..RowCommit::default()
    };
    while let Err(error) = node.adapter.store().commit(&commit).await {
        node.store_failed("enlist", &error);
        sleep(AGAIN.mul_f64(jitter())).await;
    }
    loop {
        match node.adapter.store().rows(RowTable::Members).await {
            Ok(set) => {
                add(&node, set.rows);
                node.hurry.notify_one();
                return;
            }
            Err(error) => node.store_failed("members", &error),
        }
        sleep(AGAIN.mul_f64(jitter())).await;
    }
}

fn add<A: Adapter>(node: &Node<A>, rows: Vec<citron_ports::Row>) {
    let now = node.clock.now();
    for row in rows {
        let value = row.value.as_deref().unwrap_or_default();
        let (Ok(name), Ok(member)) = (row.key.parse(), serde_json::from_slice::<MemberWire>(value))
        else {
            log::error!("{} member {}", crate::events::MAP_REFUSED, row.key);
            continue;
        };
        if name != node.settings.instance {
            let domain = member.domain.parse().ok();
            let mut state = node.state.borrow_mut();
            state.peers.add(name, member.address, domain, now);
        }
    }
}

/// A factor around 1, so that instances do not ask in step.
pub fn jitter() -> f64 {
    rand::rng().random_range(0.7..1.3)
}
