//! Limits of a backend server as enforced by the traffic threads.

mod support;

use {
    citron_core::{
        admission::{ServerQuota, SlotShare},
        id::Slots,
        table::Row,
    },
    citron_fakes::scripted::{ScriptedServer, Step},
    citronproxy::traffic::Limits,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    support::{DataPath, Reply, TEST_TIMEOUT, get, post},
    tokio::{
        io::AsyncWriteExt,
        net::TcpStream,
        task::JoinHandle,
        time::{sleep, timeout},
    },
};

/// Starts a server that takes `work` for each request.
async fn start_slow(work: Duration) -> ScriptedServer {
    let answer = Step::respond("fine");
    let one = [Step::ReadRequest, Step::Pause(work), answer];
    let script = one.iter().cycle().take(300).cloned().collect();
    ScriptedServer::start(vec![script]).await.unwrap()
}

fn start_path(server: &ScriptedServer, slots: u32, cap: Option<u32>) -> DataPath {
    DataPath::start_with(server.address, Limits::default(), |row| {
        if let Row::Server(row) = row {
            row.slots = Slots(slots);
            row.rate_cap = cap;
        }
    })
}

fn send(path: &DataPath, count: usize) -> Vec<JoinHandle<Reply>> {
    let address = path.address;
    let call =
        move |_| tokio::spawn(async move { post(address, "/kegs/a", "", "hi").await.unwrap() });
    (0..count).map(call).collect()
}

async fn replies(calls: Vec<JoinHandle<Reply>>) -> Vec<Reply> {
    let mut replies = Vec::new();
    for call in calls {
        replies.push(timeout(TEST_TIMEOUT, call).await.unwrap().unwrap());
    }
    replies
}

/// Status, reported outcome, and whether there is a `Retry-After`.
fn outcome(reply: &Reply) -> (u16, &str, bool) {
    let has_retry_after = !reply.header("retry-after").is_empty();
    (
        reply.status.as_u16(),
        reply.header("citron-outcome"),
        has_retry_after,
    )
}

/// Six callers send requests to a server of two slots at the same time. The server must get two
/// at first; the others must wait and then be served.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_gets_no_more_than_its_slots() {
    let server = start_slow(Duration::from_millis(400)).await;
    let path = start_path(&server, 2, None);
    let calls = send(&path, 6);
    sleep(Duration::from_millis(200)).await;
    assert_eq!(server.request_count(), 2);
    for reply in replies(calls).await {
        assert_eq!(outcome(&reply), (200, "ran", false));
    }
    assert_eq!(server.request_count(), 6);
}

/// More requests than can be served in time. Those that are refused must be refused early, as not
/// run and with `Retry-After`; all others must be served.
#[tokio::test(flavor = "multi_thread")]
async fn what_cannot_be_served_in_time_is_refused_at_once() {
    let server = start_slow(Duration::from_millis(100)).await;
    let path = start_path(&server, 1, None);
    replies(send(&path, 8)).await;
    let before = server.request_count();
    let started = Instant::now();
    let calls = send(&path, 60);
    let mut refused = 0;
    let mut ran = 0;
    for reply in replies(calls).await {
        match outcome(&reply) {
            (200, "ran", false) => ran += 1,
            (503, "not-run", true) => refused += 1,
            other => panic!("{other:?}"),
        }
    }
    assert!(refused >= 30, "{refused} refused");
    assert!(ran >= 1);
    assert_eq!(server.request_count() - before, ran);
    assert!(started.elapsed() < TEST_TIMEOUT / 4);
}

/// A server has a rate cap of two requests per second and gets five at once. Two must be served,
/// and three refused as not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_cap_is_kept() {
    let server = start_slow(Duration::ZERO).await;
    let path = start_path(&server, 4, Some(2));
    let replies = replies(send(&path, 5)).await;
    let count_of = |status| {
        replies
            .iter()
            .filter(|reply| outcome(reply) == status)
            .count()
    };
    assert_eq!(
        (
            count_of((200, "ran", false)),
            count_of((429, "not-run", true))
        ),
        (2, 3)
    );
    assert_eq!(server.request_count(), 2);
}

/// A caller that holds the only slot disconnects. The next request must get the slot at once.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_frees_its_slot() {
    let hang = vec![Step::ReadRequest, Step::Hang];
    let fine = vec![Step::ReadRequest, Step::respond("fine")];
    let server = ScriptedServer::start(vec![hang, fine]).await.unwrap();
    let path = start_path(&server, 1, None);
    let mut caller = TcpStream::connect(path.address).await.unwrap();
    let request = b"POST /kegs/a HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n";
    caller.write_all(request).await.unwrap();
    while server.request_count() == 0 {
        sleep(Duration::from_millis(5)).await;
    }
    let next = send(&path, 1);
    sleep(Duration::from_millis(150)).await;
    assert_eq!(
        server.request_count(),
        1,
        "two requests at a server of one slot"
    );
    drop(caller);
    assert_eq!(outcome(&replies(next).await[0]), (200, "ran", false));
}

/// A rate cap refuses three of five requests. The metrics must count attempts and outcomes.
#[tokio::test(flavor = "multi_thread")]
async fn metrics_count_outcomes() {
    let server = start_slow(Duration::ZERO).await;
    let path = start_path(&server, 4, Some(2));
    replies(send(&path, 5)).await;
    let text = get(path.address, "/metrics").await.unwrap().body;
    let text = String::from_utf8_lossy(&text).into_owned();
    for line in [
        r#"citron_requests_total{outcome="not-run",service="kegs"} 3"#,
        r#"citron_requests_total{outcome="ran",service="kegs"} 2"#,
        r#"citron_tries_total{service="kegs"} 2"#,
        r#"citron_answer_seconds_count{service="kegs"} 5"#,
        "citron_requests_in_flight 0",
    ] {
        assert!(text.lines().any(|l| l == line), "{line} is not in {text}");
    }
}

/// Control gives this instance a quota of two of a server's four slots, which it must not
/// exceed. Its demand is reported.
#[tokio::test(flavor = "multi_thread")]
async fn a_quota_of_the_slots_is_not_exceeded() {
    let server = start_slow(Duration::from_millis(400)).await;
    let path = start_path(&server, 4, None);
    let quota = ServerQuota {
        share: SlotShare::new(2.0),
        cap: None,
    };
    let quotas = BTreeMap::from([("server-1".parse().unwrap(), quota)]);
    path.handle.set_quotas(quotas).await;
    let calls = send(&path, 4);
    sleep(Duration::from_millis(200)).await;
    assert_eq!(server.request_count(), 2);
    replies(calls).await;
    let demand = path.handle.take_demand().await;
    let demand = &demand[&"server-1".parse().unwrap()];
    assert!(
        demand.arrivals.0 > 0.0 && demand.answers.0 > 0.0,
        "{demand:?}"
    );
}
