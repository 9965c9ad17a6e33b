//! Pipelining: requests that a caller sends before the previous one is answered.

mod support;

use {
    citron_fakes::scripted::{ScriptedServer, Step},
    std::time::{Duration, Instant},
    support::{DataPath, TEST_TIMEOUT, read_all},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{sleep, timeout},
    },
};

/// Time in which nothing must happen.
const QUIET_WAIT: Duration = Duration::from_millis(300);

fn get(path: &str) -> String {
    format!("GET /kegs/{path} HTTP/1.1\r\nhost: a\r\n\r\n")
}

async fn wait_until(event: &str, done: impl Fn() -> bool) {
    let started = Instant::now();
    while !done() {
        assert!(
            started.elapsed() < TEST_TIMEOUT,
            "timed out waiting for {event}"
        );
        sleep(Duration::from_millis(5)).await;
    }
}

async fn send(path: &DataPath, text: &str) -> TcpStream {
    let mut caller = TcpStream::connect(path.address).await.unwrap();
    caller.write_all(text.as_bytes()).await.unwrap();
    caller
}

/// A caller pipelines three idempotent requests, the first of which is slow. The others must run
/// meanwhile. Responses must still arrive in request order, since a caller matches them to
/// requests by order alone.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_request_does_not_hold_up_those_behind_it() {
    let slow = vec![
        Step::ReadRequest,
        Step::Pause(Duration::from_secs(2)),
        Step::respond("first"),
    ];
    let fine = vec![Step::ReadRequest, Step::respond("other")];
    let server = ScriptedServer::start(vec![slow, fine]).await.unwrap();
    let path = DataPath::start(server.address);
    let mut caller = send(&path, &get("bar-1")).await;
    wait_until("the first request", || server.request_count() == 1).await;
    let more = [get("bar-2"), get("bar-3")].concat();
    caller.write_all(more.as_bytes()).await.unwrap();
    wait_until("the other requests", || server.request_count() == 3).await;
    let early = timeout(Duration::ZERO, caller.read_u8()).await;
    assert!(
        early.is_err(),
        "a later response was sent before the first one"
    );
    let answers = read_all(&mut caller, TEST_TIMEOUT / 4).await;
    let positions: Vec<_> = answers
        .match_indices("first")
        .chain(answers.match_indices("other"))
        .collect();
    let first = answers.find("first").unwrap();
    assert_eq!(positions.len(), 3, "{answers}");
    assert!(
        positions[1..].iter().all(|(at, _)| *at > first),
        "{answers}"
    );
}

/// A caller disconnects while its pipelined requests run. The connections to the servers must be
/// closed for all of them, not only for the first, so that the servers can stop the work.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_frees_all_its_servers() {
    let hang = vec![Step::ReadRequest, Step::Hang];
    let server = ScriptedServer::start(vec![hang]).await.unwrap();
    let path = DataPath::start(server.address);
    let caller = send(&path, &[get("bar-1"), get("bar-2")].concat()).await;
    wait_until("both requests", || server.request_count() == 2).await;
    drop(caller);
    wait_until("the end of both connections", || {
        server.closed_connections() == 2
    })
    .await;
}

/// An idempotent request and a non-idempotent one are pipelined, in either order. Either may
/// depend on the other, so the second must not start before the first has ended.
#[tokio::test(flavor = "multi_thread")]
async fn what_changes_something_is_not_overtaken() {
    let post = "POST /kegs/bar-2 HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nhi";
    for pair in [
        [get("bar-1"), post.to_string()],
        [post.to_string(), get("bar-1")],
    ] {
        let hang = vec![Step::ReadRequest, Step::Hang];
        let server = ScriptedServer::start(vec![hang]).await.unwrap();
        let path = DataPath::start(server.address);
        let _caller = send(&path, &pair.concat()).await;
        wait_until("the first request", || server.request_count() == 1).await;
        sleep(QUIET_WAIT).await;
        assert_eq!(server.request_count(), 1);
    }
}
