//! Which backend servers answer, and which are leaving.

use {
    super::{Node, Tasks},
    crate::events,
    citron_core::{
        id::ServerName,
        table::{ServerRow, ServerState},
        time::Time,
    },
    citron_ports::{InstanceList, ListedState, PlatformError, Probe, Probes, TableStore},
    std::{
        cell::RefCell,
        collections::{BTreeMap, BTreeSet},
        rc::Rc,
        time::Duration,
    },
    tokio::time::sleep,
};

/// The pause between two probes of a server.
const PROBE_PAUSE: Duration = Duration::from_millis(150);
/// The pause between two reads of the platform's list.
const LIST_PAUSE: Duration = Duration::from_secs(1);
/// A server that has not answered for so long counts as lost. Shorter takes the
/// stalls of a busy server for losses, and each costs all its warm state.
const LOST_AFTER: Duration = Duration::from_millis(700);
/// Probes in a row that have to fail as well: an instance that was itself
/// paused finds all answers old.
const LOST_PROBES: u32 = 3;
/// Only so many instances of the order of [`Node::rank`] probe and act.
pub const WATCHERS: u32 = 4;

/// What probes of one server found.
#[derive(Debug, Clone, Copy)]
struct Seen {
    /// When it answered last, or was first probed.
    answered: Time,
    /// Probes that failed since.
    failures: u32,
    /// It said that it is leaving.
    draining: bool,
    /// Since when it has answered without a loss; `None` if since before this
    /// instance first looked.
    back: Option<Time>,
}

/// What is known of all servers; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Health {
    state: Rc<RefCell<State>>,
}

#[derive(Debug, Default)]
struct State {
    seen: BTreeMap<ServerName, Seen>,
    leaving: BTreeSet<ServerName>,
}

impl Health {
    /// Whether a server does not answer.
    pub fn is_lost(&self, name: &ServerName, now: Time) -> bool {
        let state = self.state.borrow();
        let seen = state.seen.get(name);
        seen.is_some_and(|seen| is_lost(seen, now))
    }

    /// Whether a server says itself, or the platform's list, that it is leaving.
    pub fn is_leaving(&self, name: &ServerName) -> bool {
        let state = self.state.borrow();
        let said = state.seen.get(name).is_some_and(|seen| seen.draining);
        said || state.leaving.contains(name)
    }

    /// When a server came back from a loss, if it did.
    pub fn back_since(&self, name: &ServerName) -> Option<Time> {
        self.state.borrow().seen.get(name)?.back
    }

    /// How many servers do not answer.
    pub fn lost(&self, now: Time) -> usize {
        let state = self.state.borrow();
        state
            .seen
            .values()
            .filter(|seen| is_lost(seen, now))
            .count()
    }

    fn note(&self, name: &ServerName, probe: Result<Probe, PlatformError>, now: Time) {
        let mut state = self.state.borrow_mut();
        let seen = state.seen.entry(name.clone()).or_insert(Seen {
            answered: now,
            failures: 0,
            draining: false,
            back: None,
        });
        let before = is_lost(seen, now);
        match &probe {
            Ok(found) => {
                let draining = *found == Probe::Draining;
                if draining && !seen.draining {
                    log::info!("{} {name}", events::SERVER_LEAVING);
                }
                seen.draining = draining;
                seen.back = if before { Some(now) } else { seen.back };
                seen.answered = now;
                seen.failures = 0;
            }
            Err(_) => seen.failures = seen.failures.saturating_add(1),
        }
        match (before, is_lost(seen, now), probe) {
            (false, true, Err(error)) => log::warn!("{} {name}: {error}", events::SERVER_LOST),
            (true, false, _) => log::info!("{} {name}", events::SERVER_BACK),
            _ => {}
        }
    }
}

fn is_lost(seen: &Seen, now: Time) -> bool {
    seen.failures >= LOST_PROBES && now - seen.answered >= LOST_AFTER
}

/// Probes the servers that this instance may act for, one task each; ends only
/// with its task.
pub async fn probe<S, B>(node: Node<S>, servers: Rc<B>, health: Health)
where
    S: TableStore + 'static,
    B: Probes + 'static,
{
    let mut tasks = Tasks::default();
    let mut revisions = node.revisions();
    loop {
        let names = watched(&node);
        health
            .state
            .borrow_mut()
            .seen
            .retain(|name, _| names.contains(name));
        tasks.keep(names, |name| {
            keep_probed(node.clone(), Rc::clone(&servers), health.clone(), name)
        });
        let _ = revisions.changed().await;
    }
}

fn watched<S: TableStore + 'static>(node: &Node<S>) -> Vec<ServerName> {
    let rows: Vec<ServerRow> = node.table(|table| {
        let rows = table.servers();
        let kept = rows.filter(|row| row.state != ServerState::Retired);
        kept.cloned().collect()
    });
    let mine = rows.iter().filter(|row| node.rank(&row.service) < WATCHERS);
    mine.map(|row| row.name.clone()).collect()
}

async fn keep_probed<S, B>(node: Node<S>, servers: Rc<B>, health: Health, name: ServerName)
where
    S: TableStore + 'static,
    B: Probes + 'static,
{
    while let Some(row) = node.server(&name) {
        let probe = servers.probe(row.address).await;
        health.note(&name, probe, node.now());
        sleep(PROBE_PAUSE).await;
    }
}

/// Reads the platform's list; ends only with its task. The list lags, so what
/// it says is never waited for; while it cannot be read, the last one counts.
pub async fn list<S>(node: Node<S>, health: Health)
where
    S: TableStore + InstanceList + 'static,
{
    loop {
        if let Ok(listed) = node.store().list().await {
            let leaving = listed
                .iter()
                .filter(|machine| machine.state == ListedState::Leaving);
            let names = leaving.filter_map(|machine| machine.name.parse().ok());
            health.state.borrow_mut().leaving = names.collect();
        }
        sleep(LIST_PAUSE).await;
    }
}
