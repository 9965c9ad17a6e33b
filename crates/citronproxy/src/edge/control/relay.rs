//! Tables handed from one instance to another.
//!
//! One instance of a failure domain reads the store and hands what has changed
//! to the others: each question to the store is paid for, and with a hundred
//! instances that ask it would be overrun. It also helps where the store turns
//! a few instances away while it serves the others and the operators: these
//! would go on by an old configuration, and send requests to servers that have
//! long said they leave.

use {
    super::{codec::TableWire, heartbeat::Heartbeat, node::Node},
    crate::{
        edge::pages::{Page, page},
        events,
    },
    bytes::Bytes,
    citron_core::time::Time,
    citron_ports::{Adapter, KeptClient},
    http::{Request, StatusCode},
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{task::spawn_local, time::sleep},
};

/// How long a table may be on its way.
const PULL_TIME: Duration = Duration::from_millis(800);
/// The largest table that is read.
const TABLE_MAX: usize = 8 << 20;
/// Pause after a failure.
const PAUSE: Duration = Duration::from_millis(150);
/// How long an instance that reads the store itself, or hears of a change from
/// another failure domain, waits for its own news: the store's answer is some
/// milliseconds away, and bytes between failure domains are paid for.
const BEHIND: Duration = Duration::from_millis(250);

/// Tables asked for from others.
#[derive(Debug, Default)]
pub struct Relay {
    /// Whether a question is open; one at a time.
    open: Cell<bool>,
    /// Since when each table is known to be behind.
    behind: RefCell<[Option<Time>; 3]>,
    clients: RefCell<BTreeMap<SocketAddr, KeptClient>>,
}

impl Relay {
    /// A table has taken changes in.
    pub fn caught_up(&self, at: usize) {
        self.behind.borrow_mut()[at] = None;
    }
}

/// The table and the version that a path names.
fn asked(path: &str) -> Option<(usize, u64)> {
    let (table, after) = path.strip_prefix("/tables/")?.split_once('/')?;
    Some((table.parse().ok()?, after.parse().ok()?))
}

/// Hands out a table.
pub fn table<A: Adapter>(node: &Node<A>, path: &str) -> Page {
    let state = node.state.borrow();
    let bytes = asked(path).and_then(|(at, after)| {
        let wire = TableWire::new(state.mirrors.get(at)?, after);
        postcard::to_stdvec(&wire).ok()
    });
    match bytes {
        Some(bytes) => page(StatusCode::OK, bytes),
        None => page(StatusCode::NOT_FOUND, ""),
    }
}

/// Asks another instance for tables that are newer there, unless this one should
/// hear of the change by itself in time.
pub fn catch_up<A: Adapter>(node: &Rc<Node<A>>, from: SocketAddr, heartbeat: &Heartbeat) {
    let due = due(node, heartbeat);
    if due.is_empty() || node.relay.open.replace(true) {
        return;
    }
    let node = Rc::clone(node);
    spawn_local(async move {
        for at in due {
            pull(&node, from, at).await;
        }
        node.relay.open.set(false);
    });
}

fn due<A: Adapter>(node: &Node<A>, heartbeat: &Heartbeat) -> Vec<usize> {
    let now = node.clock.now();
    let known = node
        .state
        .borrow()
        .mirrors
        .each_ref()
        .map(|mirror| mirror.changed);
    let near = heartbeat.domain == node.settings.domain.as_str();
    let mut behind = node.relay.behind.borrow_mut();
    let mut due = Vec::new();
    for at in 0..known.len() {
        if heartbeat.versions[at] <= known[at] {
            // Others may be ahead still; their own heartbeats tell.
            continue;
        }
        let since = *behind[at].get_or_insert(now);
        let waits = !near || (node.reads(at) && *node.store.borrow());
        if !waits || now - since > BEHIND {
            due.push(at);
        }
    }
    due
}

async fn pull<A: Adapter>(node: &Node<A>, from: SocketAddr, at: usize) {
    let after = node.state.borrow().mirrors[at].changed;
    let mut request = Request::new(Bytes::new());
    *request.uri_mut() = format!("/tables/{at}/{after}").parse().unwrap_or_default();
    let client = {
        let mut clients = node.relay.clients.borrow_mut();
        let client = clients.entry(from);
        client
            .or_insert_with(|| KeptClient::new(from, TABLE_MAX))
            .clone()
    };
    let answer = match client.call(request, PULL_TIME).await {
        Ok(answer) => answer,
        Err(error) => {
            log::debug!("table {at} of {from}: {error}");
            sleep(PAUSE).await;
            return;
        }
    };
    match postcard::from_bytes::<TableWire>(answer.body()) {
        Ok(wire) => {
            node.relay.caught_up(at);
            node.take_over(at, wire);
        }
        Err(error) => log::warn!("{} table {at} of {from}: {error}", events::DATAGRAM_REFUSED),
    }
}
