//! Follows the store's tables by long polls.

use {
    super::{controller::Controller, peers::Peer, transfer::TableTransfer},
    citron_ports::{Adapter, RowStore, RowTable},
    citron_wire::heartbeat::Heartbeat,
    rand::Rng,
    std::{rc::Rc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Tables that are followed.
pub const WATCHED: [RowTable; 3] = [RowTable::Config, RowTable::Servers, RowTable::Ranges];

/// Index of the configuration table in [`WATCHED`].
pub const CONFIG: usize = 0;
/// Index of the table of servers in [`WATCHED`].
pub const SERVERS: usize = 1;
/// Index of the table of ranges, which holds the maps and the leadership, in [`WATCHED`].
pub const RANGES: usize = 2;

/// How long the store may take to begin its response, in addition to the wait of a long
/// poll.
pub const READ_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long the store keeps a long poll open. Each call has a cost, so the wait is long:
/// keep-alive probes detect a dead connection, and the age of the table detects a lost
/// response.
const LONG_POLL_WAIT: Duration = Duration::from_secs(12);
/// Delay between two long polls in a partial mesh, where many instances fetch each change
/// from the one that reads it. Twenty starting servers that each write their entry every
/// second would otherwise cause as many changes a second, multiplied by the number of
/// instances.
const PARTIAL_MESH_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Silence after which the planner is not relied on for changes: two of its heartbeat
/// intervals, at the deployment size where they are longest.
const PLANNER_SILENCE_MAX: Duration = Duration::from_millis(1_100);
/// How often an instance that does not read the store checks whether it should.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Delay between two long polls in a full mesh. Changes come in groups, and one call for
/// the whole group is enough.
const POLL_INTERVAL: Duration = Duration::from_millis(60);
/// How long polling pauses at most after a failure, unless another call of this instance
/// succeeds. Tables that reach their age limit are refreshed regardless.
const STORE_WAIT_MAX: Duration = Duration::from_secs(3);
/// Longest pause between failing reads of a table while the store answers other calls. While it
/// has no history, changes are learned of by full reads at this interval.
const READ_RETRY_MAX: Duration = Duration::from_secs(1);

/// How long a starting instance waits for tables from peers of its failure domain, for
/// itself and for each peer that is preferred over it. Only few instances of a failure
/// domain should read a whole table from the store.
const PEER_TABLE_WAIT: Duration = Duration::from_secs(2);
/// The same for an instance that has not been registered, and therefore knows no peers.
const UNREGISTERED_PEER_TABLE_WAIT: Duration = Duration::from_secs(6);
/// Time within which heartbeats of all live peers of the failure domain arrive.
const FIRST_HEARTBEATS_WAIT: Duration = Duration::from_millis(150);
/// How often a starting instance checks whether its wait is over.
const PEER_TABLE_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until a peer has provided a table, or until this instance may read it from the
/// store. Few instances read at once; but where all have started together, callers wait
/// for the first table.
async fn wait_for_peer_table<A: Adapter>(controller: &Controller<A>, table: usize) {
    let wait_started = controller.clock.now();
    while !controller.state.borrow().replicas[table].is_read() {
        let may_wait = controller.is_transferring(table)
            || controller.clock.now() - wait_started < controller.peer_table_wait();
        if !may_wait || controller.may_read_at_start() {
            return;
        }
        sleep(PEER_TABLE_CHECK_INTERVAL).await;
    }
}

/// Follows one table until the process exits.
pub async fn follow_table<A: Adapter>(
    controller: Rc<Controller<A>>,
    table: usize,
    row_table: RowTable,
) {
    wait_for_peer_table(&controller, table).await;
    let mut is_snapshot = !controller.state.borrow().replicas[table].is_read();
    let mut failures = 0;
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
                // A store without history serves all rows but no changes.
                if !is_snapshot {
                    failures = 0;
                }
                is_snapshot = false;
                sleep(controller.poll_interval()).await;
            }
            Err(error) => {
                controller.on_store_read_failure(&format!("{row_table:?}"), call_started, &error);
                let requires_full_read = error.requires_full_read();
                is_snapshot |= requires_full_read;
                if *controller.store_up.borrow() {
                    if failures > 0 || !requires_full_read {
                        sleep(retry_pause(failures)).await;
                    }
                    failures += 1;
                } else {
                    failures = 0;
                    wait_for_store(&controller).await;
                }
            }
        }
    }
}

/// Random pause before a table is read again, after this many failed reads in a row before
/// the last one.
fn retry_pause(failures: u32) -> Duration {
    let pause = POLL_INTERVAL.saturating_mul(1 << failures.min(8));
    pause.min(READ_RETRY_MAX).mul_f64(jitter_factor())
}

impl<A: Adapter> Controller<A> {
    fn poll_interval(&self) -> Duration {
        match self.state.borrow().peers.is_full_mesh() {
            true => POLL_INTERVAL,
            false => PARTIAL_MESH_POLL_INTERVAL,
        }
    }

    /// Whether this instance reads changes from the store. The planner does, to confirm
    /// that it still has the leadership, and passes changes on to all others. One
    /// instance of each failure domain does if it receives no heartbeats of the planner.
    pub fn reads_store(&self) -> bool {
        self.state.borrow().is_planning
            || (self.is_domain_reader() && !self.receives_planner_heartbeats())
    }

    /// Whether this instance is the reader of its failure domain, from which the others
    /// learn of changes. Only instances that the store answers are considered.
    pub fn is_domain_reader(&self) -> bool {
        self.is_first_among(|heartbeat| heartbeat.store)
    }

    /// Whether this instance is the first of its failure domain, also considering
    /// instances that the store does not answer.
    pub fn is_first_in_domain(&self) -> bool {
        self.is_first_among(|_| true)
    }

    /// Whether no eligible peer of the failure domain is preferred over this instance.
    fn is_first_among(&self, is_eligible: impl Fn(&Heartbeat) -> bool) -> bool {
        self.count_ahead(is_eligible, 1) == 0
    }

    /// Number of eligible peers of the failure domain that are preferred over this
    /// instance, counted up to `limit`.
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

    /// How long this instance waits for tables from peers before it reads them itself.
    fn peer_table_wait(&self) -> Duration {
        if self.registered_at.get().is_none() {
            return UNREGISTERED_PEER_TABLE_WAIT;
        }
        let ahead = self.count_ahead(|heartbeat| heartbeat.store, usize::MAX);
        PEER_TABLE_WAIT * (1 + ahead as u32)
    }

    /// Whether a heartbeat of the planner was received recently, and reports that the
    /// store answers it.
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

    /// Whether this instance, which has just started, may read tables from the store.
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

/// Waits after a failed call to the store.
pub async fn wait_for_store<A: Adapter>(controller: &Controller<A>) {
    let mut store_up = controller.store_up.subscribe();
    // Polling resumes when the store answers another call, or else after the longest
    // pause.
    let _ = timeout(STORE_WAIT_MAX, store_up.wait_for(|is_up| *is_up)).await;
    sleep(POLL_INTERVAL.mul_f64(jitter_factor())).await;
}

/// Random factor around 1, so that instances do not poll in step.
pub fn jitter_factor() -> f64 {
    rand::rng().random_range(0.7..1.3)
}
