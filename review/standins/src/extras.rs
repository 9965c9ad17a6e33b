//! Second answers: a request that is answered with the promise that it has not run never runs.

use {
    crate::{
        deployment::{config, start_instance, wait_until_served},
        keyed::{KeyedUpstream, Traits},
        record::Record,
        support::{CallerRequest, Instance, Store, send_request},
    },
    http::Method,
    serde_json::json,
    std::{
        collections::BTreeMap,
        env,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::time::sleep,
};

const LOAD_TIME: Duration = Duration::from_secs(75);
/// Clients, each with one request at a time. At times they fill both upstreams.
const CLIENTS: usize = 45;
/// Share of the faulty upstream's answers that it sends twice.
const EXTRA_SHARE: f64 = 0.02;
const SOUND: Traits = Traits {
    slots: 6,
    queue: 12,
    work_time: Duration::from_millis(390),
    extra_share: 0.0,
    names_rejections: true,
};
/// Statuses that promise that a request has not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];
/// Tries of a client at one order.
const CLIENT_TRIES: usize = 2;
/// Wait of a client that is told of no time to come back, and the longest one.
const CLIENT_PAUSE_S: f64 = 0.05;
const CLIENT_PAUSE_MAX_S: f64 = 2.0;

/// Status of an answer; `None` if there was none.
type Status = Option<u16>;
/// Status of an answer, and the time after which the client may come back.
type Answer = Option<(u16, Option<f64>)>;

/// Returns whether a request was answered with that promise and ran, or ran twice.
pub async fn run(record: &Record, has_trouble: bool) -> bool {
    let store = Store::start().await;
    let faulty = Traits {
        extra_share: if has_trouble { EXTRA_SHARE } else { 0.0 },
        names_rejections: env::var("REJECTION_IDS").as_deref() != Ok("0"),
        ..SOUND
    };
    let sound = Traits {
        extra_share: 0.0,
        ..faulty
    };
    let service = "bay-control";
    let servers = [
        KeyedUpstream::start(&store, record, "i-1", service, faulty).await,
        KeyedUpstream::start(&store, record, "i-2", service, sound).await,
    ];
    let names = ["n-1", "n-2", "n-3", "n-4", "n-5", "n-6"];
    let instances = names.map(|name| start_instance(&store, name, 6));
    let hosts = instances
        .each_ref()
        .map(|instance: &Instance| instance.traffic);
    let rule = json!({
        "name": "releases", "routeType": "unsafe", "targetLatencyS": 1.5, "priority": 1,
        "match": {"prefix": "/packs/"},
        "action": {"service": service, "timeoutS": 5, "maxAttempts": 2},
    });
    let cluster = json!({
        "name": service, "healthPath": "/health", "maxConns": 540, "sharded": true, "warmS": 3.0,
    });
    store.put("op", "config", &config(&hosts, &rule, &cluster));
    for host in hosts {
        for key in [0, 20_000, 40_000, 65_535] {
            wait_until_served(host, Method::POST, "/packs/1", Some(key)).await;
        }
    }
    record.line("all keys are served; the load begins");
    let tries = send_load(record, &hosts).await;
    for server in &servers {
        let (all, extra) = server.answers();
        record.line(&format!(
            "{}: {all} answers, {extra} of them twice",
            server.id
        ));
    }
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for id in servers.iter().flat_map(KeyedUpstream::runs) {
        *runs.entry(id).or_default() += 1;
    }
    let mut is_broken = false;
    let mut counts: BTreeMap<Status, usize> = BTreeMap::new();
    let mut order_runs: BTreeMap<usize, usize> = BTreeMap::new();
    for (id, (order, status)) in tries {
        *counts.entry(status).or_default() += 1;
        let ran = runs.get(&id).copied().unwrap_or(0);
        *order_runs.entry(order).or_default() += ran;
        if ran > usize::from(!is_promised(status)) {
            is_broken = true;
            record.line(&format!(
                "broken: id={id} was answered {status:?} and ran {ran} times"
            ));
        }
    }
    let doubled = order_runs.values().filter(|ran| **ran > 1).count();
    record.line(&format!("answers by status: {counts:?}"));
    record.line(&format!("orders that ran twice, under two ids: {doubled}"));
    is_broken
}

/// Clients send orders for a while. As the pages have it, a client sends an order again, under a
/// new id, after the promise that it has not run. Returns the ids of the tries with their orders
/// and statuses.
async fn send_load(record: &Record, hosts: &[SocketAddr]) -> BTreeMap<String, (usize, Status)> {
    let is_over = Arc::new(AtomicBool::new(false));
    let number = Arc::new(AtomicUsize::new(0));
    let client = |host: SocketAddr| {
        let (is_over, number, record) = (is_over.clone(), number.clone(), record.clone());
        async move {
            let mut tries = Vec::new();
            while !is_over.load(Ordering::Relaxed) {
                let order = number.fetch_add(1, Ordering::Relaxed);
                let key = (order * 7_919 % 65_536) as u16;
                for attempt in 1..=CLIENT_TRIES {
                    let id = format!("o{order}-{attempt}");
                    record.line(&format!("client sends id={id} key={key} to {host}"));
                    let answer = post(host, key, &id).await;
                    let status = answer.map(|answer| answer.0);
                    record.line(&format!("client got id={id} status={status:?}"));
                    tries.push((id, (order, status)));
                    if !is_promised(status) {
                        break;
                    }
                    let again = answer.and_then(|answer| answer.1);
                    let pause = again.unwrap_or(CLIENT_PAUSE_S).min(CLIENT_PAUSE_MAX_S);
                    sleep(Duration::from_secs_f64(pause)).await;
                }
            }
            tries
        }
    };
    let hosts = hosts.iter().cycle().take(CLIENTS);
    let clients: Vec<_> = hosts.map(|host| tokio::spawn(client(*host))).collect();
    sleep(LOAD_TIME).await;
    is_over.store(true, Ordering::Relaxed);
    let mut tries = BTreeMap::new();
    for client in clients {
        tries.extend(client.await.unwrap());
    }
    // What was promised not to run may run later.
    sleep(Duration::from_secs(2)).await;
    tries
}

/// Whether an answer promises that its request has not run and never will.
fn is_promised(status: Status) -> bool {
    status.is_some_and(|status| NOT_RUN.contains(&status))
}

async fn post(to: SocketAddr, key: u16, id: &str) -> Answer {
    let request = CallerRequest {
        method: Method::POST,
        path: "/packs/1",
        id,
        key: Some(key),
    };
    let response = send_request(to, request).await?;
    let again = response.headers().get("retry-after");
    let again = again.and_then(|value| value.to_str().ok()?.parse().ok());
    Some((response.status().as_u16(), again))
}
