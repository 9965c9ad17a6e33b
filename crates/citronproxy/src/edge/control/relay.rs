//! Exchange of tables between instances.
//!
//! One instance of each failure domain reads the store and passes changes on to the
//! others: each call to the store has a cost, and a hundred polling instances would
//! overload it. The exchange also helps when the store rejects some instances while it
//! serves others and the operators: those instances would otherwise keep an old
//! configuration, and send requests to servers that announced long ago that they are
//! leaving.

use {
    super::{controller::Controller, transfer::TableTransfer, watch::WATCHED},
    crate::{
        edge::http_server::{HttpResponse, response},
        events,
    },
    bytes::Bytes,
    citron_core::freshness::{Fetch, LagTimer, PropagationTimes},
    citron_ports::{Adapter, HttpClient, fetch_table},
    citron_wire::heartbeat::Heartbeat,
    citron_wire::relay::{
        BodyCache, Format, HeadWire, RelayError, RowSelection, TableQuery, TableWire,
    },
    http::StatusCode,
    std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{task::spawn_local, time::sleep},
};

/// Largest table that is accepted, in bytes, both compressed and uncompressed.
const TABLE_BYTES_MAX: usize = 8 << 20;
/// Delay after a failed fetch.
const FETCH_RETRY_DELAY: Duration = Duration::from_millis(150);

/// State of fetching tables from other instances and serving them.
#[derive(Debug)]
pub struct Relay {
    lag_timer: RefCell<LagTimer<{ WATCHED.len() }>>,
    clients: RefCell<BTreeMap<SocketAddr, HttpClient>>,
    packer: RefCell<BodyCache<{ WATCHED.len() }>>,
}

impl Default for Relay {
    fn default() -> Self {
        Self {
            lag_timer: RefCell::new(LagTimer::new(PropagationTimes::STANDARD.lag_grace)),
            clients: RefCell::default(),
            packer: RefCell::default(),
        }
    }
}

impl Relay {
    /// Records that a table has been brought up to date.
    pub fn caught_up(&self, table: usize) {
        self.lag_timer.borrow_mut().caught_up(table);
    }
}

/// Serves a table, or its changes, to another instance.
pub fn serve_table<A: Adapter>(controller: &Controller<A>, path: &str) -> HttpResponse {
    let query = path.parse::<TableQuery>().ok();
    let query = query.filter(|query| query.table < WATCHED.len());
    match query.and_then(|query| encode_table(controller, query).ok()) {
        Some(bytes) => response(StatusCode::OK, bytes),
        None => response(StatusCode::NOT_FOUND, ""),
    }
}

fn encode_table<A: Adapter>(
    controller: &Controller<A>,
    query: TableQuery,
) -> Result<Bytes, RelayError> {
    let state = controller.state.borrow();
    let replica = &state.replicas[query.table];
    let part = replica.part_since(query.after, query.digest);
    let head = HeadWire {
        version: replica.version.0,
        whole: part == RowSelection::All,
        changed: replica.newest_change.0,
        age: state
            .freshness
            .age(query.table, controller.clock.now())
            .into(),
    };
    let rows = || replica.rows_in(part);
    match query.format {
        Format::Packed => {
            let mut packer = controller.relay.packer.borrow_mut();
            head.encode_packed(&packer.get_or_encode(
                query.table,
                replica.edit_count,
                part,
                rows,
            )?)
        }
        Format::Plain => TableWire { head, rows: rows() }.encode_plain(),
    }
}

/// Fetches tables whose version in a heartbeat is newer than here, unless this instance
/// should soon receive the change by itself.
pub fn fetch_newer_tables<A: Adapter>(
    controller: &Rc<Controller<A>>,
    from: SocketAddr,
    heartbeat: &Heartbeat,
) {
    for table in due_fetches(controller, heartbeat) {
        let fetch = controller
            .fetches
            .borrow_mut()
            .begin(table, controller.clock.now());
        if let Some(fetch) = fetch {
            let controller = Rc::clone(controller);
            spawn_local(async move { fetch_and_apply(&controller, from, fetch).await });
        }
    }
}

fn due_fetches<A: Adapter>(controller: &Controller<A>, heartbeat: &Heartbeat) -> Vec<usize> {
    let now = controller.clock.now();
    let own_versions = controller
        .state
        .borrow()
        .replicas
        .each_ref()
        .map(|replica| replica.newest_change.0);
    // Tables that are newer only at other peers are fetched on the heartbeats of those
    // peers.
    let is_newer = |table: &usize| heartbeat.versions[*table] > own_versions[*table];
    let newer: Vec<usize> = (0..own_versions.len()).filter(is_newer).collect();
    if newer.is_empty() {
        return newer;
    }
    let is_near = heartbeat.domain == controller.settings.domain.as_str();
    let reads_store = controller.reads_store() && *controller.store_up.borrow();
    // In each failure domain, only the reader fetches from the planner.
    let from_planner = heartbeat.planning
        && controller.is_domain_reader()
        && controller.receives_planner_heartbeats();
    let may_wait = !from_planner && (!is_near || reads_store);
    let mut lag_timer = controller.relay.lag_timer.borrow_mut();
    let is_due = |table: &usize| lag_timer.should_fetch(*table, may_wait, now);
    newer.into_iter().filter(is_due).collect()
}

async fn fetch_and_apply<A: Adapter>(controller: &Controller<A>, from: SocketAddr, fetch: Fetch) {
    let table = fetch.table;
    let mut transfer = TableTransfer::from_peer(controller, fetch);
    let call_started = controller.clock.now();
    let query = {
        let replica = &controller.state.borrow().replicas[table];
        TableQuery::new(table, replica.newest_change.0).with_digest(replica.digest())
    };
    let client = {
        let mut clients = controller.relay.clients.borrow_mut();
        let client = clients.entry(from);
        client
            .or_insert_with(|| HttpClient::new(from, TABLE_BYTES_MAX))
            .clone()
    };
    let result = fetch_table(&client, query, &mut transfer).await;
    controller.metrics.count_table_fetch(result.is_ok());
    let response = match result {
        Ok(response) => response,
        Err(error) => {
            log::warn!(
                "{} {:?} from {from}: {error}",
                events::TABLE_NOT_FETCHED,
                WATCHED[table]
            );
            sleep(FETCH_RETRY_DELAY).await;
            return;
        }
    };
    match response.decode(TABLE_BYTES_MAX) {
        Ok(wire) => {
            controller.relay.caught_up(table);
            controller.apply_peer_table(table, wire, call_started);
        }
        Err(error) => log::warn!(
            "{} table {table} from {from}: {error}",
            events::MESSAGE_REFUSED
        ),
    }
}
