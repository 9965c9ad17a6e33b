//! Follows the store's tables.

use {
    super::{controller::Node, peers::Peer, transfer::Arrival},
    citron_ports::{Adapter, RowStore, RowTable, StoreError},
    citron_wire::heartbeat::Heartbeat,
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

/// How long the begin of an answer may take beside the time that the store is asked to
/// wait.
pub const CALL_TIME: Duration = Duration::from_millis(1_500);
/// How long the store keeps a question open. Each question is paid for, the
/// connection's own probes tell when it is dead, and the age of a table when a
/// question was swallowed.
const WAIT: Duration = Duration::from_secs(12);
/// The same where many instances fetch each change from the one that reads: with
/// twenty servers that start, each of which writes its entry every second, there
/// would be as many changes a second, times the instances.
const PAUSE_MANY: Duration = Duration::from_millis(250);
/// So lately the planner must have been heard to be relied on for changes: two of its
/// heartbeats at the size where they are rarest.
const TELLS: Duration = Duration::from_millis(1_100);
/// How often an instance that does not read looks whether it should.
const ROLE: Duration = Duration::from_millis(200);
/// Pause between two questions: changes come in groups, and one question for
/// all of a group is enough.
const PAUSE: Duration = Duration::from_millis(60);
/// How long questions wait at most, after one has failed, until another call of
/// this instance is answered: tables that grow old are asked for anyway.
const OTHERS: Duration = Duration::from_secs(3);

/// How long an instance that has started waits for what its neighbours know, for each of
/// them that comes before it: the whole of a table is read by few of a failure domain.
const LISTEN_MOST: Duration = Duration::from_secs(2);
/// The same for one that could not enter itself among the members, and knows nobody.
const LISTEN_UNLISTED: Duration = Duration::from_secs(6);
/// How long it takes until neighbours that are there have been heard.
const LISTEN: Duration = Duration::from_millis(150);
/// How often it looks for either.
const LISTEN_LOOK: Duration = Duration::from_millis(10);

/// Waits until a neighbour has handed a table over, or it is this instance's turn to
/// ask the store. Few instances ask at once: where all were lost together, callers wait
/// for the first table.
async fn listen<A: Adapter>(node: &Node<A>, at: usize) {
    let begun = node.clock.now();
    while node.state.borrow().mirrors[at].version == 0 {
        let waits = node.is_arriving(at) || node.clock.now() - begun < node.listen_time();
        if !waits || node.is_turn() {
            return;
        }
        sleep(LISTEN_LOOK).await;
    }
}

/// Follows one table for good.
pub async fn follow<A: Adapter>(node: Rc<Node<A>>, at: usize, table: RowTable) {
    listen(&node, at).await;
    let mut whole = node.state.borrow().mirrors[at].version == 0;
    loop {
        if !whole && !node.reads() {
            sleep(ROLE).await;
            continue;
        }
        let begun = node.clock.now();
        let after = node.state.borrow().mirrors[at].version;
        let store = node.adapter.store();
        let read = match whole {
            true => {
                let mut arrival = Arrival::of_store(&node, at, CALL_TIME);
                store.rows(table, &mut arrival).await
            }
            false => {
                let mut arrival = Arrival::of_store(&node, at, WAIT + CALL_TIME);
                let question = store.changes(table, after, WAIT, &mut arrival);
                let Some(read) = node.questions.ask(at, begun, question).await else {
                    continue;
                };
                read
            }
        };
        match read {
            Ok(set) => {
                node.on_table_read(at, set, whole, begun);
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

    /// Whether this instance asks the store for the changes of tables. The planner does,
    /// as it must know that it still has the leadership, and tells all others; one of
    /// each failure domain does where the planner is not heard.
    pub fn reads(&self) -> bool {
        self.state.borrow().planning || (self.leads() && !self.hears_planner())
    }

    /// Whether this instance is the one of its failure domain that others hear of
    /// changes from.
    pub fn leads(&self) -> bool {
        self.is_ahead_of(|heartbeat| heartbeat.store)
    }

    /// Whether this instance comes before all others of its failure domain, also those
    /// that the store does not answer.
    pub fn is_first(&self) -> bool {
        self.is_ahead_of(|_| true)
    }

    /// Whether none of its failure domain that counts comes before this instance.
    fn is_ahead_of(&self, counts: impl Fn(&Heartbeat) -> bool) -> bool {
        self.count_ahead(counts, 1) == 0
    }

    /// How many of its failure domain that count come before this instance, up to `most`.
    fn count_ahead(&self, counts: impl Fn(&Heartbeat) -> bool, most: usize) -> usize {
        let state = self.state.borrow();
        let now = self.clock.now();
        let me = &self.settings;
        let counted = |peer: &Peer| {
            let near = peer.domain.as_ref() == Some(&me.domain);
            near && peer.heartbeat.as_ref().is_some_and(&counts)
        };
        let ahead = state.peers.ahead(&me.instance, me.cpu, now);
        ahead.filter(|(_, peer)| counted(peer)).take(most).count()
    }

    /// How long this instance waits for tables of others before it reads them itself.
    fn listen_time(&self) -> Duration {
        if self.enlisted.get().is_none() {
            return LISTEN_UNLISTED;
        }
        let ahead = self.count_ahead(|heartbeat| heartbeat.store, usize::MAX);
        LISTEN_MOST * (1 + ahead as u32)
    }

    /// Whether the planner was heard lately, and the store answers it.
    pub fn hears_planner(&self) -> bool {
        let state = self.state.borrow();
        let now = self.clock.now();
        let holder = state.leadership.as_ref().map(|row| &row.holder.instance);
        let planner = holder.and_then(|name| state.peers.get(name));
        let heard = planner.is_some_and(|peer| peer.heard.is_some_and(|heard| now - heard < TELLS));
        let said = planner.and_then(|peer| peer.heartbeat.as_ref());
        heard && said.is_some_and(|said| said.planning && said.store && !said.leaving)
    }

    /// Whether this instance, which has started, should read tables itself.
    fn is_turn(&self) -> bool {
        let Some(enlisted) = self.enlisted.get() else {
            return false;
        };
        let state = self.state.borrow();
        let alone = !state.peers.has_near();
        let few = state.peers.hears_all();
        drop(state);
        few || alone || (self.clock.now() - enlisted > LISTEN && self.leads())
    }
}

/// Waits after a call that failed.
pub async fn pause<A: Adapter>(node: &Node<A>) {
    let mut store = node.store.subscribe();
    // Either the store answers again, or it is time to ask all the same.
    let _ = timeout(OTHERS, store.wait_for(|answers| *answers)).await;
    sleep(PAUSE.mul_f64(jitter())).await;
}

/// A factor around 1, so that instances do not ask in step.
pub fn jitter() -> f64 {
    rand::rng().random_range(0.7..1.3)
}
