//! Which backend servers answer, and which are leaving.

use {
    super::{Node, ServerTasks},
    crate::events,
    citron_core::{
        id::ServerName,
        table::{ServerRow, ServerState},
        time::Time,
    },
    citron_ports::{MachineList, MachineState, PlatformError, ProbeResult, Prober, TableStore},
    std::{
        cell::RefCell,
        collections::{BTreeMap, BTreeSet},
        rc::Rc,
        time::Duration,
    },
    tokio::time::sleep,
};

/// The pause between two probes of a server.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);
/// The pause between two reads of the platform's list.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// A server that has not answered for so long counts as lost. Shorter takes the
/// stalls of a busy server for losses, and each costs all its warm state.
const LOST_AFTER: Duration = Duration::from_millis(700);
/// Probes in a row that have to fail as well: an instance that was itself
/// paused finds all answers old.
const MIN_FAILED_PROBES: u32 = 3;
/// Only so many instances of the order of [`Node::rank`] probe and act.
pub const ACTIVE_RANKS: u32 = 4;

/// What probes of one server found.
#[derive(Debug, Clone, Copy)]
struct ProbeRecord {
    /// When it answered last, or was first probed.
    answered_at: Time,
    /// Probes that failed since.
    failures: u32,
    /// It said that it is leaving.
    is_draining: bool,
    /// Since when it has answered without a loss; `None` if since before this
    /// instance first looked.
    recovered_at: Option<Time>,
}

/// What is known of all servers; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Health {
    state: Rc<RefCell<State>>,
}

#[derive(Debug, Default)]
struct State {
    probes: BTreeMap<ServerName, ProbeRecord>,
    leaving: BTreeSet<ServerName>,
}

impl Health {
    /// Whether a server does not answer.
    pub fn is_lost(&self, name: &ServerName, now: Time) -> bool {
        let state = self.state.borrow();
        let record = state.probes.get(name);
        record.is_some_and(|record| is_lost(record, now))
    }

    /// Whether a server says itself, or the platform's list, that it is leaving.
    pub fn is_leaving(&self, name: &ServerName) -> bool {
        let state = self.state.borrow();
        let is_draining = state
            .probes
            .get(name)
            .is_some_and(|record| record.is_draining);
        is_draining || state.leaving.contains(name)
    }

    /// When a server came back from a loss, if it did.
    pub fn recovered_at(&self, name: &ServerName) -> Option<Time> {
        self.state.borrow().probes.get(name)?.recovered_at
    }

    /// How many servers do not answer.
    pub fn lost_count(&self, now: Time) -> usize {
        let state = self.state.borrow();
        state
            .probes
            .values()
            .filter(|record| is_lost(record, now))
            .count()
    }

    fn record_probe(
        &self,
        name: &ServerName,
        probe: Result<ProbeResult, PlatformError>,
        now: Time,
    ) {
        let mut state = self.state.borrow_mut();
        let record = state.probes.entry(name.clone()).or_insert(ProbeRecord {
            answered_at: now,
            failures: 0,
            is_draining: false,
            recovered_at: None,
        });
        let was_lost = is_lost(record, now);
        match &probe {
            Ok(found) => {
                let is_draining = *found == ProbeResult::Draining;
                if is_draining && !record.is_draining {
                    log::info!("{} {name}", events::SERVER_LEAVING);
                }
                record.is_draining = is_draining;
                record.recovered_at = if was_lost {
                    Some(now)
                } else {
                    record.recovered_at
                };
                record.answered_at = now;
                record.failures = 0;
            }
            Err(_) => record.failures = record.failures.saturating_add(1),
        }
        match (was_lost, is_lost(record, now), probe) {
            (false, true, Err(error)) => log::warn!("{} {name}: {error}", events::SERVER_LOST),
            (true, false, _) => log::info!("{} {name}", events::SERVER_BACK),
            _ => {}
        }
    }
}

fn is_lost(record: &ProbeRecord, now: Time) -> bool {
    record.failures >= MIN_FAILED_PROBES && now - record.answered_at >= LOST_AFTER
}

/// Probes the servers that this instance may act for, one task each; ends only
/// with its task.
pub async fn probe_servers<S, B>(node: Node<S>, servers: Rc<B>, health: Health)
where
    S: TableStore + 'static,
    B: Prober + 'static,
{
    let mut tasks = ServerTasks::default();
    let mut revisions = node.revisions();
    loop {
        let names = probed_servers(&node);
        health
            .state
            .borrow_mut()
            .probes
            .retain(|name, _| names.contains(name));
        tasks.reconcile(names, |name| {
            probe_server(node.clone(), Rc::clone(&servers), health.clone(), name)
        });
        let _ = revisions.changed().await;
    }
}

fn probed_servers<S: TableStore + 'static>(node: &Node<S>) -> Vec<ServerName> {
    let rows: Vec<ServerRow> = node.with_table(|table| {
        let rows = table.servers();
        let kept = rows.filter(|row| row.state != ServerState::Retired);
        kept.cloned().collect()
    });
    let mine = rows
        .iter()
        .filter(|row| node.rank(&row.service) < ACTIVE_RANKS);
    mine.map(|row| row.name.clone()).collect()
}

async fn probe_server<S, B>(node: Node<S>, servers: Rc<B>, health: Health, name: ServerName)
where
    S: TableStore + 'static,
    B: Prober + 'static,
{
    while let Some(row) = node.server_row(&name) {
        let probe = servers.probe(row.address).await;
        health.record_probe(&name, probe, node.now());
        sleep(PROBE_INTERVAL).await;
    }
}

/// Reads the platform's list; ends only with its task. The list lags, so what
/// it says is never waited for; while it cannot be read, the last one counts.
pub async fn follow_list<S>(node: Node<S>, health: Health)
where
    S: TableStore + MachineList + 'static,
{
    loop {
        if let Ok(listed) = node.store().list().await {
            let leaving = listed
                .iter()
                .filter(|machine| machine.state == MachineState::Leaving);
            let names = leaving.filter_map(|machine| machine.name.parse().ok());
            health.state.borrow_mut().leaving = names.collect();
        }
        sleep(LIST_INTERVAL).await;
    }
}
