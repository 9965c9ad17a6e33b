//! Health of backend servers: which ones answer, and which are leaving.

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

/// Pause between two probes of a server.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);
/// Pause between two reads of the platform's instance list.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Time without an answer after which a server counts as lost. A shorter time would take
/// stalls of a busy server for losses, and each loss costs the server's whole warm state.
const LOST_AFTER: Duration = Duration::from_millis(700);
/// Consecutive failed probes that a loss requires in addition to [`LOST_AFTER`]. To an
/// instance that was itself paused, all answers look old.
const MIN_FAILED_PROBES: u32 = 3;
/// Number of instances, in the order of [`Node::rank`], that probe a service's servers
/// and act for the service.
pub const ACTIVE_RANKS: u32 = 4;

/// Probe results of one server.
#[derive(Debug, Clone, Copy)]
struct ProbeRecord {
    /// Time of the last answer, or of the first probe.
    answered_at: Time,
    /// Failed probes since the last answer.
    failures: u32,
    /// Whether the server reports that it is draining.
    is_draining: bool,
    /// Time of the first answer after a loss; `None` if the server has not been lost
    /// since this instance began probing it.
    recovered_at: Option<Time>,
}

/// Health of all servers. Clones share it.
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
    /// Whether a server is lost, that is, does not answer.
    pub fn is_lost(&self, name: &ServerName, now: Time) -> bool {
        let state = self.state.borrow();
        let record = state.probes.get(name);
        record.is_some_and(|record| is_lost(record, now))
    }

    /// Whether a server is leaving, by its own report or by the platform's list.
    pub fn is_leaving(&self, name: &ServerName) -> bool {
        let state = self.state.borrow();
        let is_draining = state
            .probes
            .get(name)
            .is_some_and(|record| record.is_draining);
        is_draining || state.leaving.contains(name)
    }

    /// When a server answered again after a loss; `None` if it was not lost.
    pub fn recovered_at(&self, name: &ServerName) -> Option<Time> {
        self.state.borrow().probes.get(name)?.recovered_at
    }

    /// Number of servers that are lost.
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

/// Probes the servers of the services that this instance may act for, in one task each.
/// Runs until its task is aborted.
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

/// Reads the platform's instance list periodically. Runs until its task is aborted. The
/// list lags behind, so nothing waits for it; while it cannot be read, the last one is
/// used.
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
