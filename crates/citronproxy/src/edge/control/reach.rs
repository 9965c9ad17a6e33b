//! Checks of servers when this instance suspects a cut of its links to them.

use {
    super::controller::Controller,
    crate::edge::view::View,
    bytes::Bytes,
    citron_core::{
        dispatch::{Failure, Links},
        id::ServerName,
        registry::ServerRecord,
    },
    citron_ports::{Adapter, HttpClient},
    futures::stream::{FuturesUnordered, StreamExt},
    http::Request,
    rand::seq::IteratorRandom,
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::{task::spawn_local, time::sleep},
};

/// Interval of the checks while this instance is cut off.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Time limit of a check. Servers are milliseconds away, and respond at once, if only to
/// reject.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// Number of servers that are checked at a time while this instance is cut off.
const CHECKED_SERVERS: usize = 4;
/// Number of servers whose silence, or refused connections, confirm a cut. More than half of
/// the servers may end at about the same time, and some of these have responded a moment ago.
const CONFIRMING_SERVERS: usize = 8;
/// Largest response body that is read, in bytes.
const RESPONSE_BYTES_MAX: usize = 64 * 1_024;

/// Checks servers when this instance suspects its links to them and while it is cut off, and
/// tells other instances of the beginning and end of a cut, until the process exits.
pub async fn run<A: Adapter>(controller: Rc<Controller<A>>) {
    let mut links = controller.shared.subscribe_links();
    loop {
        // The sender is part of the shared state and lives as long as the process.
        let _ = links.wait_for(|links| *links != Links::Sound).await;
        check_suspicion(&controller).await;
        if !controller.shared.is_cut_off() {
            continue;
        }
        announce(&controller);
        while controller.shared.is_cut_off() {
            if let Some(view) = controller.shared.view() {
                for check in random_servers(&view, CHECKED_SERVERS, |_| true) {
                    spawn_local(check_server(Rc::clone(&controller), check));
                }
            }
            sleep(CHECK_INTERVAL).await;
        }
        announce(&controller);
    }
}

/// Checks the servers that should respond if the links of this instance are sound. Returns as
/// soon as one responds, or when none has.
async fn check_suspicion<A: Adapter>(controller: &Rc<Controller<A>>) {
    let started = controller.clock.now();
    let checks = likely_servers(controller);
    if checks.is_empty() {
        return sleep(CHECK_INTERVAL).await;
    }
    let checks = checks.into_iter();
    let checks = checks.map(|check| check_server(Rc::clone(controller), check));
    let mut checks: FuturesUnordered<_> = checks.collect();
    while let Some(has_response) = checks.next().await {
        if has_response {
            return;
        }
    }
    let now = controller.clock.now();
    controller.shared.record_failed_checks(started, now);
}

fn announce<A: Adapter>(controller: &Controller<A>) {
    controller.heartbeat_trigger.notify_one();
    controller.plan_trigger.notify_one();
    controller.publish_view();
}

/// A health check of a server.
struct Check {
    server: ServerName,
    address: SocketAddr,
    path: String,
}

/// Checks a server. Returns whether it has responded.
async fn check_server<A: Adapter>(controller: Rc<Controller<A>>, check: Check) -> bool {
    let server = check.server;
    let request = match Request::get(check.path).body(Bytes::new()) {
        Ok(request) => request,
        Err(error) => {
            log::debug!("check of {server}: {error}");
            return false;
        }
    };
    let started = controller.clock.now();
    let client = HttpClient::new(check.address, RESPONSE_BYTES_MAX);
    let result = client.call(request, CHECK_TIMEOUT).await;
    let now = controller.clock.now();
    match &result {
        Ok(_) => controller.record_response(&server),
        Err(error) => {
            log::debug!("check of {server}: {error}");
            let shared = &controller.shared;
            shared.record_failure(&server, Failure::Unreachable, started, now);
        }
    }
    result.is_ok()
}

/// Checks of the servers that responded last, and of some others at random. Half of these are
/// in the own failure domain, which is within reach when the domain is cut off.
fn likely_servers<A: Adapter>(controller: &Controller<A>) -> Vec<Check> {
    let Some(view) = controller.shared.view() else {
        return Vec::new();
    };
    let known: Vec<ServerName> = {
        let reach = controller.shared.reach();
        reach.by_last_response().into_iter().cloned().collect()
    };
    let known = known
        .iter()
        .filter_map(|name| to_check(&view, view.find_server(name)?));
    let mut checks: Vec<Check> = known.take(CONFIRMING_SERVERS / 2).collect();
    let domain = &controller.settings.domain;
    let near = random_servers(&view, CONFIRMING_SERVERS / 4, |server| {
        server.entry.domain == *domain
    });
    for check in near.chain(random_servers(&view, CONFIRMING_SERVERS, |_| true)) {
        let is_new = checks.iter().all(|known| known.server != check.server);
        if is_new && checks.len() < CONFIRMING_SERVERS {
            checks.push(check);
        }
    }
    checks
}

/// Checks of some available servers, at random.
fn random_servers(
    view: &View,
    count: usize,
    is_eligible: impl Fn(&ServerRecord) -> bool,
) -> impl Iterator<Item = Check> {
    let servers = view.servers.values().flat_map(|list| list.as_slice());
    let eligible = servers.filter(|server| server.is_available() && is_eligible(server));
    let chosen = eligible.choose_multiple(&mut rand::rng(), count);
    chosen
        .into_iter()
        .filter_map(|server| to_check(view, server))
}

fn to_check(view: &View, server: &ServerRecord) -> Option<Check> {
    let service = view.config.service(&server.entry.service)?;
    Some(Check {
        server: server.entry.name.clone(),
        address: server.entry.address,
        path: service.health_path.clone(),
    })
}

impl<A: Adapter> Controller<A> {
    /// Records that a server has responded to this instance.
    pub fn record_response(&self, server: &ServerName) {
        self.shared.record_response(server, self.clock.now());
    }
}
