//! Asks the store anew where what is known has grown old.

use {
    super::{
        arrival::Arrival,
        node::Node,
        watch::{self, CONFIG, RANGES, SERVERS, WATCHED, jitter},
    },
    crate::events,
    citron_core::{
        freshness::{PropagationTimes, Role},
        time::Time,
    },
    citron_ports::{Adapter, RowSet, RowStore, RowTable, StoreError},
    citron_wire::heartbeat::Heartbeat,
    std::{cell::Cell, future::Future, rc::Rc, time::Duration},
    tokio::{sync::Notify, time::sleep},
};

/// How long the begin of an answer may take: the store answers in some milliseconds,
/// and in a quarter of a second when it is slow.
const CALL_TIME: Duration = Duration::from_millis(600);
/// The longest time between two looks, as the role may change meanwhile.
const LOOK_MOST: Duration = Duration::from_millis(200);
/// An open question whose news came on another way for so long counts as swallowed:
/// its own answer cannot be that far behind.
const SWALLOWED: Duration = PropagationTimes::STANDARD.call_duration;

/// Questions to the store that stay open until there is news, one for each table.
///
/// The failure: the answer to one is lost while its connection stays open, and each
/// later change reaches this failure domain late, from another one. News that came on
/// another way proves it.
#[derive(Debug, Default)]
pub struct Questions {
    open: [Question; WATCHED.len()],
}

#[derive(Debug, Default)]
struct Question {
    /// When it was asked.
    asked: Cell<Option<Time>>,
    /// When news came that it should have told.
    missed: Cell<Option<Time>>,
    dropped: Notify,
}

impl Questions {
    /// Asks a question; nothing if it was found to be swallowed.
    pub async fn ask<T>(
        &self,
        at: usize,
        begun: Time,
        question: impl Future<Output = T>,
    ) -> Option<T> {
        let open = &self.open[at];
        open.asked.set(Some(begun));
        open.missed.set(None);
        let answer = tokio::select! {
            answer = question => Some(answer),
            () = open.dropped.notified() => None,
        };
        open.asked.set(None);
        answer
    }

    /// News of a table came as the answer to a call that began at `begun`.
    pub fn missed(&self, at: usize, begun: Time) {
        let open = &self.open[at];
        let earlier = open.asked.get().is_some_and(|asked| asked < begun);
        if earlier && open.missed.get().is_none() {
            open.missed.set(Some(begun));
        }
    }

    /// Drops questions that were swallowed, so that they are asked anew.
    fn drop_swallowed(&self, now: Time) {
        for (open, table) in self.open.iter().zip(WATCHED) {
            let missed = open.missed.get();
            if missed.is_none_or(|missed| now - missed < SWALLOWED) {
                continue;
            }
            open.missed.set(None);
            if let Some(asked) = open.asked.get() {
                let open_for = now - asked;
                log::warn!("{} {table:?}, asked {open_for:?} ago", events::SWALLOWED);
                open.dropped.notify_one();
            }
        }
    }
}

/// Looks after the ages of tables for good.
pub async fn run<A: Adapter>(node: Rc<Node<A>>) {
    loop {
        let left = node.until_due();
        sleep(left.clamp(PropagationTimes::STANDARD.poll_interval, LOOK_MOST)).await;
        node.questions.drop_swallowed(node.clock.now());
        if node.until_due().is_zero() && node.state.borrow().mirrors[RANGES].version > 0 {
            refresh(&node).await;
        }
    }
}

/// Another instance's heartbeat says how old its tables were when it was sent.
pub fn hear_ages<A: Adapter>(node: &Node<A>, heartbeat: &Heartbeat, sent: Time) {
    for (at, age) in heartbeat.ages.into_iter().enumerate() {
        if heartbeat.versions[at] == node.state.borrow().mirrors[at].changed {
            node.record_peer_age(at, age.into(), sent);
        }
    }
}

/// Brings all tables up to date. The answer about one tells the newest version of
/// all: as long as nothing is written, one call does.
async fn refresh<A: Adapter>(node: &Rc<Node<A>>) {
    let Some(newest) = ask(node, RANGES).await else {
        return;
    };
    let older = |at: usize| {
        let version = node.state.borrow().mirrors[at].version;
        version > 0 && version < newest && !node.is_arriving(at)
    };
    let ask_if = async |at| {
        if older(at) {
            ask(node, at).await;
        }
    };
    tokio::join!(ask_if(CONFIG), ask_if(SERVERS));
    // Others are told at once how old their tables are.
    node.hurry.notify_one();
}

/// Reads all maps and the leadership; whether the store told them.
pub async fn read_maps<A: Adapter>(node: &Node<A>) -> bool {
    let begun = node.clock.now();
    let mut arrival = Arrival::of_store(node, RANGES, watch::CALL_TIME);
    let read = node.adapter.store().rows(RowTable::Ranges, &mut arrival);
    match read.await {
        Ok(set) => node.on_table_read(RANGES, set, true, begun),
        Err(error) => {
            node.store_failed("maps", &error);
            return false;
        }
    }
    true
}

/// Brings a table up to date, and waits for no change; the store's version.
async fn ask<A: Adapter>(node: &Rc<Node<A>>, at: usize) -> Option<u64> {
    let begun = node.clock.now();
    match read(node, at).await {
        Ok((set, whole)) => Some(answered(node, at, set, whole, begun)),
        Err(error) => failed(node, at, &error),
    }
}

/// What has changed in a table, or all there is, if so. What an instance knows that
/// hears of changes from others may be older than the store's history, though nothing
/// has changed since.
async fn read<A: Adapter>(node: &Node<A>, at: usize) -> Result<(RowSet, bool), StoreError> {
    let store = node.adapter.store();
    let after = node.state.borrow().mirrors[at].version;
    let mut arrival = Arrival::of_store(node, at, CALL_TIME);
    let changes = store.changes(WATCHED[at], after, Duration::ZERO, &mut arrival);
    match changes.await {
        Err(StoreError::Forgotten) => {
            let mut arrival = Arrival::of_store(node, at, CALL_TIME);
            Ok((store.rows(WATCHED[at], &mut arrival).await?, true))
        }
        changes => Ok((changes?, false)),
    }
}

fn answered<A: Adapter>(node: &Node<A>, at: usize, set: RowSet, whole: bool, begun: Time) -> u64 {
    let version = set.version;
    if !whole && !set.rows.is_empty() {
        node.questions.missed(at, begun);
    }
    node.on_table_read(at, set, whole, begun);
    version
}

fn failed<A: Adapter>(node: &Node<A>, at: usize, error: &StoreError) -> Option<u64> {
    let now = node.clock.now();
    let role = node.role();
    node.state
        .borrow_mut()
        .fresh
        .record_failure(role, jitter(), now);
    let table = WATCHED[at];
    log::warn!("{} {table:?} of the store: {error}", events::TABLE_LOST);
    node.store_failed(&format!("{table:?}"), error);
    None
}

impl<A: Adapter> Node<A> {
    /// How long until the store should be asked.
    fn until_due(&self) -> Duration {
        // The planner must hear from the store itself that it still has the leadership.
        let arriving = [0, 1, 2].map(|at| at != RANGES && self.is_arriving(at));
        let state = self.state.borrow();
        let now = self.clock.now();
        state
            .fresh
            .time_until_due_except(arriving, self.role(), now)
    }

    /// Whether parts of a table are coming.
    pub fn is_arriving(&self, at: usize) -> bool {
        let now = self.clock.now();
        self.fetches.borrow().is_arriving(at, now)
    }

    fn role(&self) -> Role {
        if self.state.borrow().planning {
            return Role::Planner;
        }
        // Where the store answers nobody, all of a domain would read it.
        let reads = match *self.store.borrow() {
            true => self.leads(),
            false => self.is_first(),
        };
        if reads { Role::Reader } else { Role::Follower }
    }
}
