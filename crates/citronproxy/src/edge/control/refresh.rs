//! Asks the store anew where what is known has grown old.

use {
    super::{
        heartbeat::Heartbeat,
        node::Node,
        watch::{RANGES, SERVERS, WATCHED, jitter},
    },
    crate::events,
    citron_core::{
        freshness::{HearTimes, Role},
        time::Time,
    },
    citron_ports::{Adapter, RowSet, RowStore, StoreError},
    std::{cell::Cell, future::Future, rc::Rc, time::Duration},
    tokio::{
        sync::Notify,
        time::{sleep, timeout},
    },
};

/// How long a call may take: the store answers in some milliseconds, and in a quarter
/// of a second when it is slow.
const CALL_TIME: Duration = Duration::from_millis(600);
/// The longest time between two looks, as the role may change meanwhile.
const LOOK_MOST: Duration = Duration::from_millis(200);
/// An open question whose news came on another way for so long counts as swallowed:
/// its own answer cannot be that far behind.
const SWALLOWED: Duration = HearTimes::STANDARD.call;

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
    again: Notify,
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
            () = open.again.notified() => None,
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
                log::warn!(
                    "{} {table:?}, asked {:?} ago",
                    events::SWALLOWED,
                    now - asked
                );
                open.again.notify_one();
            }
        }
    }
}

/// Looks after the ages of tables for good.
pub async fn run<A: Adapter>(node: Rc<Node<A>>) {
    loop {
        let left = node
            .state
            .borrow()
            .fresh
            .left(node.role(), node.clock.now());
        sleep(left.clamp(HearTimes::STANDARD.look, LOOK_MOST)).await;
        let now = node.clock.now();
        node.questions.drop_swallowed(now);
        let due = node.state.borrow().fresh.is_due(node.role(), now);
        if due && node.state.borrow().mirrors[RANGES].version > 0 {
            refresh(&node).await;
        }
    }
}

/// Another instance's heartbeat says how old its tables are.
pub fn hear_ages<A: Adapter>(node: &Node<A>, heartbeat: &Heartbeat) {
    let now = node.clock.now();
    for (at, age) in heartbeat.ages.into_iter().enumerate() {
        if heartbeat.versions[at] == node.state.borrow().mirrors[at].changed {
            node.known_elsewhere(at, age.into(), now);
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
        version > 0 && version < newest
    };
    let ask_if = async |at| {
        if older(at) {
            ask(node, at).await;
        }
    };
    tokio::join!(ask_if(0), ask_if(SERVERS));
    // Others are told at once how old their tables are.
    node.hurry.notify_one();
}

/// Asks what has changed in a table, and waits for no change; the store's version.
async fn ask<A: Adapter>(node: &Rc<Node<A>>, at: usize) -> Option<u64> {
    let begun = node.clock.now();
    let after = node.state.borrow().mirrors[at].version;
    let question = node
        .adapter
        .store()
        .changes(WATCHED[at], after, Duration::ZERO);
    let late = |_| Err(StoreError::Unknown(format!("not within {CALL_TIME:?}")));
    match timeout(CALL_TIME, question).await.unwrap_or_else(late) {
        Ok(set) => Some(answered(node, at, set, begun)),
        Err(StoreError::Forgotten) => {
            // The question that is open is asked anew, and then the whole table read.
            // The other tables may have changed as well.
            node.questions.missed(at, begun);
            node.failed_to_ask();
            Some(u64::MAX)
        }
        Err(error) => {
            node.failed_to_ask();
            node.store_failed(&format!("{:?}", WATCHED[at]), &error);
            None
        }
    }
}

fn answered<A: Adapter>(node: &Node<A>, at: usize, set: RowSet, begun: Time) -> u64 {
    let version = set.version;
    if !set.rows.is_empty() {
        node.questions.missed(at, begun);
    }
    node.told(at, set, false, begun);
    version
}

impl<A: Adapter> Node<A> {
    fn failed_to_ask(&self) {
        let now = self.clock.now();
        self.state.borrow_mut().fresh.failed(jitter(), now);
    }

    fn role(&self) -> Role {
        if self.state.borrow().planning {
            return Role::Planner;
        }
        match self.reads(SERVERS) {
            true => Role::Reader,
            false => Role::Other,
        }
    }
}
