//! Moves under traffic between two backend servers that do not check epochs.

mod support;

use {
    citron_core::{
        id::{Epoch, Revision, ServerName, Slots},
        ownership::Phase,
        table::{Fencing, Row},
    },
    citron_fakes::backend::{BackendConfig, BackendServer},
    citronproxy::traffic::Limits,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, SystemTime},
    },
    support::{DataPath, SampleConfig, TEST_TIMEOUT, post, sample_rows},
    tokio::time::sleep,
};

/// Callers that send requests continuously.
const CALLER_COUNT: usize = 8;
/// Moves of all keys.
const MOVE_COUNT: u64 = 25;

async fn backend(name: &str) -> BackendServer {
    let config = BackendConfig {
        name: name.to_string(),
        slots: 64,
        work: Duration::from_millis(4),
        checks_grants: false,
    };
    let any = "127.0.0.1:0".parse().unwrap();
    BackendServer::start(any, config).await.unwrap()
}

/// Unix time in microseconds, as the servers record it for each run.
fn wall_micros() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    now.unwrap().as_micros() as u64
}

/// Sets owner, phase and epoch of all shards.
fn assign(path: &mut DataPath, owner: &ServerName, phase: &Phase, epoch: u64) {
    for row in &mut path.rows {
        if let Row::Block(block) = row {
            for shard in &mut block.shards {
                shard.owner = owner.clone();
                shard.phase = phase.clone();
                shard.epoch = Epoch(epoch);
            }
        }
    }
}

async fn run_caller(number: usize, address: SocketAddr, stop: Arc<AtomicBool>) -> Vec<String> {
    let mut sent = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let id = format!("{number}-{}", sent.len());
        let path = format!("/kegs/bar-{id}");
        let reply = post(address, &path, &id, "pickup").await.unwrap();
        let outcome = (reply.status.as_u16(), reply.header("citron-outcome"));
        assert_eq!(outcome, (200, "ran"), "{id}");
        sent.push(id);
    }
    sent
}

/// Eight callers send requests continuously while all keys move between two servers 25 times. For
/// each move the old owner releases the keys, and the new one owns them once the traffic threads
/// report the old one quiescent. Every request must succeed and run once, and none may start at
/// the old owner after that report, where it would overlap with requests at the new owner.
#[tokio::test(flavor = "multi_thread")]
async fn no_request_reaches_an_owner_that_was_quiescent() {
    let servers = [backend("server-1").await, backend("server-2").await];
    let names: [ServerName; 2] = ["server-1".parse().unwrap(), "server-2".parse().unwrap()];
    let mut path = DataPath::start_with(servers[0].address, Limits::default(), |_| {});
    let named = servers.iter().zip(&names);
    path.rows = sample_rows(&SampleConfig {
        servers: named
            .map(|(server, name)| (name.to_string(), "harbour".to_string(), server.address))
            .collect(),
        fencing: Fencing::Unchecked,
    });
    for row in &mut path.rows {
        if let Row::Server(row) = row {
            row.slots = Slots(64);
        }
    }
    assign(&mut path, &names[0], &Phase::Owned, 2);
    path.publish(2, TEST_TIMEOUT);
    let stop = Arc::new(AtomicBool::new(false));
    let callers =
        (0..CALLER_COUNT).map(|n| tokio::spawn(run_caller(n, path.address, Arc::clone(&stop))));
    let callers: Vec<_> = callers.collect();

    // Time at which the owner of each epoch was quiescent.
    let mut quiet_at = BTreeMap::new();
    for number in 1..=MOVE_COUNT {
        sleep(Duration::from_millis(30)).await;
        let [from, to] = [(number + 1) % 2, number % 2].map(|at| &names[at as usize]);
        let releasing = Phase::Releasing { to: to.clone() };
        assign(&mut path, from, &releasing, 2 * number + 1);
        path.publish(2 * number + 1, TEST_TIMEOUT);
        path.handle
            .wait_quiescent(from, Revision(2 * number + 1))
            .await;
        quiet_at.insert(2 * number, wall_micros());
        assign(&mut path, to, &Phase::Owned, 2 * number + 2);
        path.publish(2 * number + 2, TEST_TIMEOUT);
    }
    sleep(Duration::from_millis(30)).await;
    stop.store(true, Ordering::Relaxed);
    let mut sent = BTreeSet::new();
    for caller in callers {
        sent.extend(caller.await.unwrap());
    }

    let runs: Vec<_> = servers
        .iter()
        .flat_map(|server| server.executions.all())
        .collect();
    assert!(sent.len() > 200, "too little traffic: {}", sent.len());
    assert_eq!(runs.len(), sent.len(), "a request ran twice or not at all");
    let ran: BTreeSet<String> = runs.iter().map(|run| run.id.clone()).collect();
    assert_eq!(ran, sent);
    for run in &runs {
        let late = quiet_at
            .get(&run.epoch)
            .is_some_and(|quiet_at| run.at_us > *quiet_at);
        assert!(!late, "{run:?} started after its owner was quiescent");
    }
    let epochs: BTreeSet<u64> = runs.iter().map(|run| run.epoch).collect();
    assert!(epochs.len() > 20, "{epochs:?}");
}
