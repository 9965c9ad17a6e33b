//! Two holders of keys: a planner that is cut off renews leases at an upstream that has started
//! again under its id.

use {
    crate::{
        deployment::{config, start_instance_with, wait_until_served},
        record::Record,
        support::{
            CallerRequest, Change, Instance, PeerNetwork, Server, Store, is_ok, ownership_periods,
            send_request, wait_until,
        },
    },
    citron_fakes::link::Link,
    http::Method,
    serde_json::json,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

const SERVICE: &str = "bay-control";
const PATH: &str = "/packs/1";
const KEYS: u64 = 65_536;
/// Distance of the keys that are compared.
const KEY_STEP: usize = 64;
/// Time for which the planner is cut off.
const CUT_TIME: Duration = Duration::from_millis(5_500);
/// Interval of the planners' renewals, and the time before one at which the upstream crashes.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(2_500);
const CRASH_LEAD: Duration = Duration::from_millis(400);
/// Time from the restart of the upstream to its entry in the store.
const ENTRY_DELAY: Duration = Duration::from_millis(900);
/// Time after the cut for which holds are watched.
const WATCH_TIME: Duration = Duration::from_secs(6);
/// Time for which the rule lets two upstreams hold the same keys.
const OVERLAP_MAX: Duration = Duration::from_millis(500);
/// Clients of each instance.
const CLIENTS: usize = 6;

/// Returns whether two upstreams held the same keys for longer than the rule allows.
pub async fn run(record: &Record, has_trouble: bool) -> bool {
    let store = Store::start().await;
    let network = PeerNetwork::default();
    let mut instances: Vec<Instance> = Vec::new();
    let mut store_links = Vec::new();
    let mut servers = Vec::new();
    for id in ["i-1", "i-2", "i-3"] {
        let mut server = Server::start(&store, id, SERVICE, true).await;
        server.report_start(&store, 1_000);
        servers.push(server);
    }
    for name in ["n-1", "n-2"] {
        let store_link = Link::start(store.address).await.unwrap();
        let relay = network.start_relay().await;
        let instance = start_instance_with(store_link.address, name, 6, |settings| {
            let peer = settings["peer"].as_str().unwrap().parse().unwrap();
            network.connect(relay, peer, &store);
        });
        instances.push(instance);
        store_links.push(store_link);
        if name == "n-1" {
            // The first instance becomes the planner.
            wait_until("the first instance plans", async || plans(&store, name)).await;
        }
    }
    let hosts = [instances[0].traffic, instances[1].traffic];
    let rule = json!({
        "name": "lookups", "routeType": "safe", "targetLatencyS": 1, "priority": 2,
        "match": {"prefix": "/packs/"},
        "action": {"service": SERVICE, "timeoutS": 3, "maxAttempts": 2},
    });
    let cluster = json!({
        "name": SERVICE, "healthPath": "/health", "maxConns": 540, "sharded": true, "warmS": 3.0,
    });
    store.put("op", "config", &config(&hosts, &rule, &cluster));
    for host in hosts {
        for key in [0, 20_000, 40_000, 65_535] {
            wait_until_served(host, Method::GET, PATH, Some(key)).await;
        }
    }
    record.line("all keys are served; the load begins");
    let is_over = Arc::new(AtomicBool::new(false));
    let has_shifted = Arc::new(AtomicBool::new(false));
    let clients = start_clients(record, &hosts, &is_over, &has_shifted);
    sleep(Duration::from_secs(4)).await;
    let cut_at = Instant::now();
    has_shifted.store(true, Ordering::Relaxed);
    record.line("other keys are busy now");
    if has_trouble {
        store_links[0].cut();
        network.cut(0, &instances[0]);
        record.line("n-1, the planner, is cut off from the store and from n-2");
        wait_until("the second instance plans", async || plans(&store, "n-2")).await;
        record.line("n-2 plans");
    }
    wait_until("keys have moved", async || {
        moved_key(&servers, cut_at).is_some()
    })
    .await;
    let (key, from, to) = moved_key(&servers, cut_at).unwrap();
    let id = servers[from].id.clone();
    record.line(&format!(
        "key {key} has moved from {id} to {}, {:.2} s after the cut",
        servers[to].id,
        cut_at.elapsed().as_secs_f64()
    ));
    if has_trouble {
        // The crash comes a moment before the first planner's next renewal for the key.
        let renewed_at = last_grant(&servers[from], key, cut_at).unwrap();
        let mut next = renewed_at + RENEWAL_INTERVAL;
        while next < Instant::now() {
            next += RENEWAL_INTERVAL;
        }
        sleep((next - CRASH_LEAD).saturating_duration_since(Instant::now())).await;
        record.line(&format!(
            "{id} crashes, and starts again under its id, without any keys"
        ));
        let successor = servers[from].crash_and_start(&id, 2_000).await;
        sleep(ENTRY_DELAY).await;
        successor.register(&store, "ready");
        servers.push(successor);
        record.line(&format!("{id} has written its entry"));
    }
    sleep((cut_at + CUT_TIME).saturating_duration_since(Instant::now())).await;
    if has_trouble {
        store_links[0].heal();
        network.heal(0);
        record.line(&format!(
            "the cut ends after {:.2} s",
            cut_at.elapsed().as_secs_f64()
        ));
    }
    sleep(WATCH_TIME).await;
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        client.await.unwrap();
    }
    for server in &servers {
        for change in server.ownership_changes() {
            record.line(&format!(
                "{} {}-{} {:?} {:.3} s after the cut",
                server.name(),
                change.first,
                change.last,
                change.change,
                change.at.saturating_duration_since(cut_at).as_secs_f64()
            ));
        }
    }
    check(record, &servers)
}

/// A key that has changed hands since a time, with its former and its present holder.
fn moved_key(servers: &[Server], since: Instant) -> Option<(u64, usize, usize)> {
    let changes: Vec<_> = servers.iter().map(Server::ownership_changes).collect();
    (0..KEYS).step_by(KEY_STEP).find_map(|key| {
        let to = servers.iter().position(|server| server.owns(key))?;
        let from = changes.iter().position(|changes| {
            let mut of_key = changes
                .iter()
                .filter(|change| (change.first..=change.last).contains(&key));
            of_key.any(|change| matches!(change.change, Change::Released) && change.at > since)
        })?;
        (from != to).then_some((key, from, to))
    })
}

/// When a key was granted last at a server before a time.
fn last_grant(server: &Server, key: u64, before: Instant) -> Option<Instant> {
    let changes = server.ownership_changes();
    let of_key = changes.iter().filter(|change| {
        let is_grant = matches!(change.change, Change::Granted { .. });
        is_grant && (change.first..=change.last).contains(&key) && change.at < before
    });
    of_key.map(|change| change.at).max()
}

/// Whether the store names an instance as the planner.
fn plans(store: &Store, name: &str) -> bool {
    let row = store.get("citron-ranges", "planner");
    row.is_some_and(|row| row.contains(&format!("\"{name}\"")))
}

fn start_clients(
    record: &Record,
    hosts: &[SocketAddr],
    is_over: &Arc<AtomicBool>,
    has_shifted: &Arc<AtomicBool>,
) -> Vec<tokio::task::JoinHandle<()>> {
    let number = Arc::new(AtomicUsize::new(0));
    let client = |host: SocketAddr| {
        let (record, is_over, number) = (record.clone(), is_over.clone(), number.clone());
        let has_shifted = has_shifted.clone();
        async move {
            while !is_over.load(Ordering::Relaxed) {
                let number = number.fetch_add(1, Ordering::Relaxed);
                let id = format!("r-{number}");
                // Most requests are for keys that are close to one another.
                let busy = match has_shifted.load(Ordering::Relaxed) {
                    true => 50_000,
                    false => 20_000,
                };
                let key = match number % 4 {
                    0 => number * 7_919 % 65_536,
                    _ => busy + number * 31 % 4_000,
                } as u16;
                let request = CallerRequest {
                    method: Method::GET,
                    path: PATH,
                    id: &id,
                    key: Some(key),
                };
                let response = send_request(host, request).await;
                let status = response.as_ref().map(|response| response.status().as_u16());
                record.line(&format!(
                    "client of {host} got id={id} key={key} {status:?}"
                ));
                let pause = if is_ok(&response) { 20 } else { 200 };
                sleep(Duration::from_millis(pause)).await;
            }
        }
    };
    let hosts = hosts.iter().cycle().take(CLIENTS * hosts.len());
    hosts.map(|host| tokio::spawn(client(*host))).collect()
}

/// Writes down who held which keys together, and whether both began requests on them.
fn check(record: &Record, servers: &[Server]) -> bool {
    let mut is_broken = false;
    let changes: Vec<_> = servers.iter().map(Server::ownership_changes).collect();
    let runs: Vec<_> = servers.iter().map(Server::execution_log).collect();
    let mut last_text = String::new();
    for key in (0..KEYS).step_by(KEY_STEP) {
        let periods = servers.iter().zip(&changes).enumerate();
        let periods = periods.flat_map(|(index, (server, changes))| {
            let periods = ownership_periods(server, changes, key);
            periods.into_iter().map(move |period| (index, period))
        });
        let periods: Vec<_> = periods.collect();
        for (one, former) in &periods {
            for (other, next) in &periods {
                if one == other || former.begin > next.begin {
                    continue;
                }
                let (begin, end) = (next.begin, former.end.min(next.end));
                if end.saturating_duration_since(begin) <= OVERLAP_MAX {
                    continue;
                }
                is_broken = true;
                let in_overlap = |index: &usize| {
                    let runs = runs[*index].iter();
                    let near = runs.filter(|run| {
                        run.key
                            .is_some_and(|ran| ran.abs_diff(key) < KEY_STEP as u64)
                    });
                    near.filter(|run| (begin..end).contains(&run.at)).count()
                };
                let text = format!(
                    "{} under {} and {} under {} both held it for {:.2} s",
                    servers[*one].name(),
                    former.epoch,
                    servers[*other].name(),
                    next.epoch,
                    (end - begin).as_secs_f64(),
                );
                let (first, second) = (in_overlap(one), in_overlap(other));
                if text != last_text || first * second > 0 {
                    record.line(&format!(
                        "OWNER: key {key}: {text}; requests begun near it: {first} and {second}"
                    ));
                }
                last_text = text;
            }
        }
    }
    is_broken
}
