//! Tables handed from one instance to another.
//!
//! One instance of a failure domain reads the store and hands what has changed
//! to the others: each question to the store is paid for, and with a hundred
//! instances that ask it would be overrun. It also helps where the store rejects
//! a few instances while it serves the others and the operators: these would go
//! on by an old configuration, and send requests to servers that have long said
//! that they leave.

use {
    super::{controller::Node, transfer::Arrival, watch::WATCHED},
    crate::{
        edge::http_server::{Page, page},
        events,
    },
    bytes::Bytes,
    citron_core::freshness::{Fetch, LagTimer, PropagationTimes},
    citron_ports::{Adapter, KeptClient, fetch_table},
    citron_wire::heartbeat::Heartbeat,
    citron_wire::relay::{Format, HeadWire, Packer, Part, RelayError, TableQuestion, TableWire},
    http::StatusCode,
    std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{task::spawn_local, time::sleep},
};

/// The largest table that is read, packed or not.
const TABLE_MAX: usize = 8 << 20;
/// Pause after a failure.
const PAUSE: Duration = Duration::from_millis(150);

/// Tables asked for from others, and handed to them.
#[derive(Debug)]
pub struct Relay {
    lag: RefCell<LagTimer<{ WATCHED.len() }>>,
    clients: RefCell<BTreeMap<SocketAddr, KeptClient>>,
    packer: RefCell<Packer<{ WATCHED.len() }>>,
}

impl Default for Relay {
    fn default() -> Self {
        Self {
            lag: RefCell::new(LagTimer::new(PropagationTimes::STANDARD.lag_grace)),
            clients: RefCell::default(),
            packer: RefCell::default(),
        }
    }
}

impl Relay {
    /// A table has taken changes in.
    pub fn caught_up(&self, at: usize) {
        self.lag.borrow_mut().caught_up(at);
    }
}

/// Hands out a table.
pub fn table<A: Adapter>(node: &Node<A>, path: &str) -> Page {
    let question = path.parse::<TableQuestion>().ok();
    let question = question.filter(|question| question.table < WATCHED.len());
    match question.and_then(|question| answer(node, question).ok()) {
        Some(bytes) => page(StatusCode::OK, bytes),
        None => page(StatusCode::NOT_FOUND, ""),
    }
}

fn answer<A: Adapter>(node: &Node<A>, question: TableQuestion) -> Result<Bytes, RelayError> {
    let state = node.state.borrow();
    let mirror = &state.mirrors[question.table];
    let part = mirror.part(question.after, question.digest);
    let head = HeadWire {
        version: mirror.version,
        whole: part == Part::Whole,
        changed: mirror.changed,
        age: state.fresh.age(question.table, node.clock.now()).into(),
    };
    let rows = || mirror.rows(part);
    match question.format {
        Format::Packed => {
            let mut packer = node.relay.packer.borrow_mut();
            head.with(&packer.body(question.table, mirror.edits, part, rows)?)
        }
        Format::Plain => TableWire { head, rows: rows() }.to_plain(),
    }
}

/// Asks another instance for tables that are newer there, unless this one should
/// hear of the change by itself in time.
pub fn catch_up<A: Adapter>(node: &Rc<Node<A>>, from: SocketAddr, heartbeat: &Heartbeat) {
    for at in due(node, heartbeat) {
        let fetch = node.fetches.borrow_mut().begin(at, node.clock.now());
        if let Some(fetch) = fetch {
            let node = Rc::clone(node);
            spawn_local(async move { pull(&node, from, fetch).await });
        }
    }
}

fn due<A: Adapter>(node: &Node<A>, heartbeat: &Heartbeat) -> Vec<usize> {
    let now = node.clock.now();
    let known = node
        .state
        .borrow()
        .mirrors
        .each_ref()
        .map(|mirror| mirror.changed);
    // Others may be ahead still where this one is not; their own heartbeats tell.
    let is_newer = |at: &usize| heartbeat.versions[*at] > known[*at];
    let newer: Vec<usize> = (0..known.len()).filter(is_newer).collect();
    if newer.is_empty() {
        return newer;
    }
    let near = heartbeat.domain == node.settings.domain.as_str();
    let reads = node.reads() && *node.store.borrow();
    // The planner tells one instance of each failure domain.
    let told = heartbeat.planning && node.leads() && node.hears_planner();
    let waits = !told && (!near || reads);
    let mut lag = node.relay.lag.borrow_mut();
    let is_due = |at: &usize| lag.should_fetch(*at, waits, now);
    newer.into_iter().filter(is_due).collect()
}

async fn pull<A: Adapter>(node: &Node<A>, from: SocketAddr, fetch: Fetch) {
    let at = fetch.table;
    let mut arrival = Arrival::of_fetch(node, fetch);
    let begun = node.clock.now();
    let question = {
        let mirror = &node.state.borrow().mirrors[at];
        TableQuestion::new(at, mirror.changed).having(mirror.digest())
    };
    let client = {
        let mut clients = node.relay.clients.borrow_mut();
        let client = clients.entry(from);
        client
            .or_insert_with(|| KeptClient::new(from, TABLE_MAX))
            .clone()
    };
    let called = fetch_table(&client, question, &mut arrival).await;
    node.counts.count_fetch(called.is_ok());
    let answer = match called {
        Ok(answer) => answer,
        Err(error) => {
            log::warn!(
                "{} {:?} of {from}: {error}",
                events::TABLE_LOST,
                WATCHED[at]
            );
            sleep(PAUSE).await;
            return;
        }
    };
    match answer.read(TABLE_MAX) {
        Ok(wire) => {
            node.relay.caught_up(at);
            node.take_over(at, wire, begun);
        }
        Err(error) => log::warn!("{} table {at} of {from}: {error}", events::DATAGRAM_REFUSED),
    }
}
