//! Follows the store's tables.

use {
    super::{controller::Controller, peers::Peer, transfer::TableTransfer},
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
pub const READ_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long the store keeps a question open. Each question is paid for, the
/// connection's own probes tell when it is dead, and the age of a table when a
/// question was swallowed.
const LONG_POLL_WAIT: Duration = Duration::from_secs(12);
/// The same where many instances fetch each change from the one that reads: with
/// twenty servers that start, each of which writes its entry every second, there
/// would be as many changes a second, times the instances.
const PARTIAL_MESH_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// So lately the planner must have been heard to be relied on for changes: two of its
/// heartbeats at the size where they are rarest.
const PLANNER_SILENCE_MAX: Duration = Duration::from_millis(1_100);
/// How often an instance that does not read looks whether it should.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Pause between two questions: changes come in groups, and one question for
/// all of a group is enough.
const POLL_INTERVAL: Duration = Duration::from_millis(60);
/// How long questions wait at most, after one has failed, until another call of
/// this instance is answered: tables that grow old are asked for anyway.
const STORE_WAIT_MAX: Duration = Duration::from_secs(3);

/// How long an instance that has started waits for what its neighbours know, for each of
/// them that comes before it: the whole of a table is read by few of a failure domain.
const PEER_TABLE_WAIT: Duration = Duration::from_secs(2);
/// The same for one that could not enter itself among the members, and knows nobody.
const UNREGISTERED_PEER_TABLE_WAIT: Duration = Duration::from_secs(6);
/// How long it takes until neighbours that are there have been heard.
const FIRST_HEARTBEATS_WAIT: Duration = Duration::from_millis(150);
/// How often it looks for either.
const PEER_TABLE_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until a neighbour has handed a table over, or it is this instance's turn to
/// ask the store. Few instances ask at once: where all were lost together, callers wait
/// for the first table.
async fn wait_for_peer_table<A: Adapter>(controller: &Controller<A>, table: usize) {
    let wait_started = controller.clock.now();
    while controller.state.borrow().replicas[table].version == 0 {
        let may_wait = controller.is_transferring(table)
            || controller.clock.now() - wait_started < controller.peer_table_wait();
        if !may_wait || controller.may_read_at_start() {
            return;
        }
        sleep(PEER_TABLE_CHECK_INTERVAL).await;
    }
}

/// Follows one table for good.
pub async fn follow_table<A: Adapter>(
    controller: Rc<Controller<A>>,
    table: usize,
    row_table: RowTable,
) {
    wait_for_peer_table(&controller, table).await;
    let mut is_snapshot = controller.state.borrow().replicas[table].version == 0;
    loop {
        if !is_snapshot && !controller.reads_store() {
            sleep(ROLE_CHECK_INTERVAL).await;
            continue;
        }
        let call_started = controller.clock.now();
        let known_version = controller.state.borrow().replicas[table].version;
        let store = controller.adapter.store();
        let read = match is_snapshot {
            true => {
                let mut transfer =
                    TableTransfer::from_store(&controller, table, READ_RESPONSE_TIMEOUT);
                store.rows(row_table, &mut transfer).await
            }
            false => {
                let mut transfer = TableTransfer::from_store(
                    &controller,
                    table,
                    LONG_POLL_WAIT + READ_RESPONSE_TIMEOUT,
                );
                let changes =
                    store.changes(row_table, known_version, LONG_POLL_WAIT, &mut transfer);
                let Some(read) = controller
                    .long_polls
                    .run(table, call_started, changes)
                    .await
                else {
                    continue;
                };
                read
            }
        };
        match read {
            Ok(row_set) => {
                controller.on_table_read(table, row_set, is_snapshot, call_started);
                is_snapshot = false;
                sleep(controller.poll_interval()).await;
            }
            Err(StoreError::Forgotten) => is_snapshot = true,
            Err(error) => {
                controller.on_store_failure(&format!("{row_table:?}"), &error);
                wait_for_store(&controller).await;
            }
        }
    }
}

impl<A: Adapter> Controller<A> {
    fn poll_interval(&self) -> Duration {
        match self.state.borrow().peers.is_full_mesh() {
            true => POLL_INTERVAL,
            false => PARTIAL_MESH_POLL_INTERVAL,
        }
    }

    /// Whether this instance asks the store for the changes of tables. The planner does,
    /// as it must know that it still has the leadership, and tells all others; one of
    /// each failure domain does where the planner is not heard.
    pub fn reads_store(&self) -> bool {
        self.state.borrow().is_planning
            || (self.is_domain_reader() && !self.receives_planner_heartbeats())
    }

    /// Whether this instance is the one of its failure domain that others hear of
    /// changes from.
    pub fn is_domain_reader(&self) -> bool {
        self.is_first_among(|heartbeat| heartbeat.store)
    }

    /// Whether this instance comes before all others of its failure domain, also those
    /// that the store does not answer.
    pub fn is_first_in_domain(&self) -> bool {
        self.is_first_among(|_| true)
    }

    /// Whether none of its failure domain that counts comes before this instance.
    fn is_first_among(&self, is_eligible: impl Fn(&Heartbeat) -> bool) -> bool {
        self.count_ahead(is_eligible, 1) == 0
    }

    /// How many of its failure domain that count come before this instance, up to `most`.
    fn count_ahead(&self, is_eligible: impl Fn(&Heartbeat) -> bool, limit: usize) -> usize {
        let state = self.state.borrow();
        let now = self.clock.now();
        let settings = &self.settings;
        let is_counted = |peer: &Peer| {
            let is_near = peer.domain.as_ref() == Some(&settings.domain);
            is_near && peer.heartbeat.as_ref().is_some_and(&is_eligible)
        };
        let ahead = state
            .peers
            .preferred_over(&settings.instance, settings.cpu_percent, now);
        ahead
            .filter(|(_, peer)| is_counted(peer))
            .take(limit)
            .count()
    }

    /// How long this instance waits for tables of others before it reads them itself.
    fn peer_table_wait(&self) -> Duration {
        if self.registered_at.get().is_none() {
            return UNREGISTERED_PEER_TABLE_WAIT;
        }
        let ahead = self.count_ahead(|heartbeat| heartbeat.store, usize::MAX);
        PEER_TABLE_WAIT * (1 + ahead as u32)
    }

    /// Whether the planner was heard lately, and the store answers it.
    pub fn receives_planner_heartbeats(&self) -> bool {
        let state = self.state.borrow();
        let now = self.clock.now();
        let planner_name = state.leadership.as_ref().map(|row| &row.planner.instance);
        let planner = planner_name.and_then(|name| state.peers.get(name));
        let is_recent = planner.is_some_and(|peer| {
            peer.last_heard
                .is_some_and(|heard| now - heard < PLANNER_SILENCE_MAX)
        });
        let heartbeat = planner.and_then(|peer| peer.heartbeat.as_ref());
        is_recent
            && heartbeat.is_some_and(|heartbeat| {
                heartbeat.planning && heartbeat.store && !heartbeat.leaving
            })
    }

    /// Whether this instance, which has started, should read tables itself.
    fn may_read_at_start(&self) -> bool {
        let Some(registered_at) = self.registered_at.get() else {
            return false;
        };
        let state = self.state.borrow();
        let is_alone = !state.peers.has_same_domain_peers();
        let is_full_mesh = state.peers.is_full_mesh();
        drop(state);
        is_full_mesh
            || is_alone
            || (self.clock.now() - registered_at > FIRST_HEARTBEATS_WAIT && self.is_domain_reader())
    }
}

/// Waits after a call that failed.
pub async fn wait_for_store<A: Adapter>(controller: &Controller<A>) {
    let mut store_up = controller.store_up.subscribe();
    // Either the store answers again, or it is time to ask all the same.
    let _ = timeout(STORE_WAIT_MAX, store_up.wait_for(|is_up| *is_up)).await;
    sleep(POLL_INTERVAL.mul_f64(jitter_factor())).await;
}

/// A factor around 1, so that instances do not ask in step.
pub fn jitter_factor() -> f64 {
    rand::rng().random_range(0.7..1.3)
}
