//! Reuse of connections to backend servers after late, surplus or abandoned responses; silent
//! connections, deadlines, requests during moves, and when a server counts as quiescent.

mod support;

use {
    citron_core::{
        id::{Epoch, Revision, ServerName},
        ownership::Phase,
        table::Row,
    },
    citron_fakes::scripted::{ScriptedServer, Step},
    std::time::{Duration, Instant},
    support::{DataPath, TEST_TIMEOUT, get, post, read_all},
    tokio::{
        io::AsyncWriteExt,
        net::TcpStream,
        time::{sleep, timeout},
    },
};

const POST: &[u8] = b"POST /kegs/bar-7 HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nhi";
const POST_300_MS: &[u8] =
    b"POST /kegs/bar-7 HTTP/1.1\r\nhost: a\r\ncitron-timeout-ms: 300\r\ncontent-length: 2\r\n\r\nhi";
/// Unit of the short waits of these tests.
const SHORT_WAIT: Duration = Duration::from_millis(300);

fn server_1() -> ServerName {
    "server-1".parse().unwrap()
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

/// A server answers after the first caller's deadline, about when a second caller sends a
/// request. The second caller must get the response to its own request, not the late one.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_answer_reaches_nobody() {
    let late = Step::Pause(Duration::from_millis(600));
    let fine = vec![Step::ReadRequest, Step::respond("second")];
    let script = vec![
        Step::ReadRequest,
        late,
        Step::respond("first"),
        Step::ReadRequest,
        Step::Hang,
    ];
    let server = ScriptedServer::start(vec![script, fine]).await.unwrap();
    let path = DataPath::start(server.address);
    let first = path.send_raw(POST_300_MS, SHORT_WAIT * 3).await;
    assert!(first.starts_with("HTTP/1.1 504"), "{first}");
    assert!(first.contains("citron-outcome: unknown"), "{first}");
    assert!(!first.contains("retry-after"), "{first}");
    sleep(SHORT_WAIT).await;
    let second = post(path.address, "/kegs/bar-7", "2", "hi").await.unwrap();
    assert_eq!(second.body, "second");
    assert_eq!(server.request_count(), 2);
}

/// A server sends two responses to one request, with a length or chunked. The surplus response
/// is waiting on the connection when the next request arrives and must not be taken for its
/// response.
#[tokio::test(flavor = "multi_thread")]
async fn a_surplus_answer_reaches_nobody() {
    let length = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n";
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let bodies = [
        format!("{length}first{length}cross"),
        format!("{chunked}5\r\nfirst\r\n0\r\n\r\n{chunked}5\r\ncross\r\n0\r\n\r\n"),
    ];
    for double in bodies {
        let script = vec![
            Step::ReadRequest,
            Step::Write(double),
            Step::ReadRequest,
            Step::Hang,
        ];
        let fine = vec![Step::ReadRequest, Step::respond("own"), Step::Hang];
        let server = ScriptedServer::start(vec![script, fine]).await.unwrap();
        let path = DataPath::start(server.address);
        // One write for both requests, so that the second arrives immediately after the first.
        let both = [POST, POST].concat();
        let answers = path.send_raw(&both, SHORT_WAIT).await;
        let cross = answers.contains("cross");
        assert!(answers.contains("first") && !cross, "{answers}");
        assert!(answers.contains("own"), "{answers}");
    }
}

/// A caller disconnects while the server works. The connection to the server must be closed at
/// once, and no later request may be sent on it.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_frees_the_server() {
    let fine = vec![Step::ReadRequest, Step::respond("own")];
    let server = ScriptedServer::start(vec![vec![Step::ReadRequest, Step::Hang], fine])
        .await
        .unwrap();
    let path = DataPath::start(server.address);
    let mut caller = TcpStream::connect(path.address).await.unwrap();
    caller.write_all(POST).await.unwrap();
    wait_until("the request", || server.request_count() == 1).await;
    assert_eq!(server.closed_connections(), 0);
    drop(caller);
    wait_until("the end of the connection", || {
        server.closed_connections() == 1
    })
    .await;
    let next = post(path.address, "/kegs/bar-7", "2", "hi").await.unwrap();
    assert_eq!(next.body, "own");
}

/// A caller disconnects while it receives a long response. The connection to the server must be
/// closed.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_during_the_answer_frees_the_server() {
    let part = "HTTP/1.1 200 OK\r\ncontent-length: 9000\r\n\r\npart";
    let script = vec![Step::ReadRequest, Step::write(part), Step::Hang];
    let server = ScriptedServer::start(vec![script]).await.unwrap();
    let path = DataPath::start(server.address);
    let mut caller = TcpStream::connect(path.address).await.unwrap();
    caller.write_all(POST).await.unwrap();
    let begin = read_all(&mut caller, SHORT_WAIT).await;
    assert!(begin.ends_with("part"), "{begin}");
    drop(caller);
    wait_until("the end of the connection", || {
        server.closed_connections() == 1
    })
    .await;
}

/// A server answers before it has read the whole upload, and keeps the connection open. The
/// connection must not be reused, since the server could take the rest of the body for a new
/// request.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_with_half_a_request_is_not_used_again() {
    let fine = vec![Step::ReadRequest, Step::respond("own")];
    let early = vec![Step::ReadHead, Step::respond("early"), Step::Hang];
    let server = ScriptedServer::start(vec![early, fine]).await.unwrap();
    let path = DataPath::start(server.address);
    let half = b"POST /kegs/bar-7 HTTP/1.1\r\nhost: a\r\ncontent-length: 9000\r\n\r\nhalf";
    let first = path.send_raw(half, SHORT_WAIT).await;
    assert!(first.contains("early"), "{first}");
    wait_until("the end of the connection", || {
        server.closed_connections() == 1
    })
    .await;
    let next = post(path.address, "/kegs/bar-7", "2", "hi").await.unwrap();
    assert_eq!(next.body, "own");
}

/// The server receives the remaining time until the deadline: the caller's time-out or the
/// service's deadline, less the time already spent.
#[tokio::test(flavor = "multi_thread")]
async fn the_deadline_is_passed_on() {
    let fine = vec![Step::ReadRequest, Step::respond("own")];
    let server = ScriptedServer::start(vec![fine]).await.unwrap();
    let path = DataPath::start(server.address);
    path.send_raw(POST_300_MS, SHORT_WAIT).await;
    path.send_raw(POST, SHORT_WAIT).await;
    let timeout_ms = |number| {
        let text = server.received_text(number);
        let line = text
            .lines()
            .find_map(|l| l.strip_prefix("citron-timeout-ms: "));
        line.and_then(|millis| millis.parse::<u64>().ok()).unwrap()
    };
    assert!((1..=300).contains(&timeout_ms(0)), "{}", timeout_ms(0));
    assert!((301..=5_000).contains(&timeout_ms(1)), "{}", timeout_ms(1));
}

/// An established connection goes silent: data written to it is lost, while new connections
/// work. An idempotent request must get its response over a second connection, long before its
/// deadline.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_connection_is_replaced() {
    let silent = vec![Step::ReadRequest, Step::respond("one"), Step::Hang];
    let fine = vec![Step::ReadRequest, Step::respond("two")];
    let server = ScriptedServer::start(vec![silent, fine]).await.unwrap();
    let path = DataPath::start(server.address);
    assert_eq!(get(path.address, "/kegs/bar-7").await.unwrap().body, "one");
    let started = Instant::now();
    let reply = get(path.address, "/kegs/bar-7").await.unwrap();
    assert_eq!(reply.body, "two");
    assert!(started.elapsed() < Duration::from_secs(4));
}

/// A connection goes silent and is then idle for 1.3 s. A request that may run only once must not
/// be sent on a connection that has received nothing lately; it needs a new one.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_may_run_once_avoids_old_connections() {
    let silent = vec![Step::ReadRequest, Step::respond("one"), Step::Hang];
    let fine = vec![Step::ReadRequest, Step::respond("two")];
    let server = ScriptedServer::start(vec![silent, fine]).await.unwrap();
    let path = DataPath::start(server.address);
    assert_eq!(get(path.address, "/kegs/bar-7").await.unwrap().body, "one");
    sleep(Duration::from_millis(1_300)).await;
    let reply = post(path.address, "/kegs/bar-7", "2", "hi").await.unwrap();
    assert_eq!((reply.status.as_u16(), &reply.body[..]), (200, &b"two"[..]));
}

/// Sets phase and epoch of all shards.
fn set_phase(path: &mut DataPath, phase: &Phase, epoch: u64) {
    for row in &mut path.rows {
        if let Row::Block(block) = row {
            for shard in &mut block.shards {
                shard.phase = phase.clone();
                shard.epoch = Epoch(epoch);
            }
        }
    }
}

/// A key is released and owned again 400 ms later. A request in between must wait and then be
/// served under the new epoch, not refused.
#[tokio::test(flavor = "multi_thread")]
async fn requests_wait_for_a_move_to_end() {
    let fine = vec![Step::ReadRequest, Step::respond("own")];
    let server = ScriptedServer::start(vec![fine]).await.unwrap();
    let mut path = DataPath::start(server.address);
    let releasing = Phase::Releasing { to: server_1() };
    set_phase(&mut path, &releasing, 2);
    path.publish(2, TEST_TIMEOUT);
    let address = path.address;
    let waiting = tokio::spawn(async move { post(address, "/kegs/bar-7", "1", "hi").await });
    sleep(Duration::from_millis(400)).await;
    assert_eq!(
        server.used_connections(),
        0,
        "a request was sent while the key had no owner"
    );
    set_phase(&mut path, &Phase::Owned, 3);
    path.publish(3, TEST_TIMEOUT);
    let reply = waiting.await.unwrap().unwrap();
    assert_eq!(reply.body, "own");
    assert!(server.received_text(0).contains("citron-epoch: 3"));
}

/// A move does not end within the short wait for it. The request must be refused then, well
/// before its deadline, as not run and with `Retry-After`.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_during_a_long_move_is_refused() {
    let server = ScriptedServer::start(vec![vec![Step::Hang]]).await.unwrap();
    let mut path = DataPath::start(server.address);
    let releasing = Phase::Releasing { to: server_1() };
    set_phase(&mut path, &releasing, 2);
    path.publish(2, TEST_TIMEOUT);
    let started = Instant::now();
    let reply = post(path.address, "/kegs/bar-7", "1", "hi").await.unwrap();
    assert_eq!(reply.status.as_u16(), 503);
    assert_eq!(reply.header("citron-outcome"), "not-run");
    assert_eq!(reply.header("retry-after"), "1");
    assert!(started.elapsed() < Duration::from_secs(4));
}

/// Control waits until a server receives no more requests under a revision older than 2. The
/// wait must not end before that revision is published and the request in progress has its
/// complete response; a server without requests is quiescent at once. The request's load is
/// reported once.
#[tokio::test(flavor = "multi_thread")]
async fn quiescence_waits_for_requests_in_progress() {
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nha";
    let pause = Step::Pause(SHORT_WAIT);
    let script = vec![
        Step::ReadRequest,
        pause.clone(),
        Step::write(head),
        pause,
        Step::write("lf"),
    ];
    let server = ScriptedServer::start(vec![script]).await.unwrap();
    let path = DataPath::start(server.address);
    let early = server_1();
    let early = path.handle.wait_quiescent(&early, Revision(2));
    let early = timeout(SHORT_WAIT / 4, early).await;
    assert!(early.is_err(), "quiescent before the publication");
    let address = path.address;
    let call = tokio::spawn(async move { get(address, "/kegs/bar-7").await.unwrap() });
    wait_until("the request", || server.request_count() == 1).await;
    let (handle, server_1) = (path.handle.clone(), server_1());
    let quiet = handle.wait_quiescent(&server_1, Revision(2));
    assert!(
        timeout(SHORT_WAIT / 4, quiet).await.is_err(),
        "quiescent before the publication"
    );
    path.publish(2, TEST_TIMEOUT);
    assert!(
        timeout(
            SHORT_WAIT / 4,
            handle.wait_quiescent(&server_1, Revision(2))
        )
        .await
        .is_err()
    );
    timeout(
        TEST_TIMEOUT,
        handle.wait_quiescent(&"server-2".parse().unwrap(), Revision(2)),
    )
    .await
    .unwrap();
    timeout(TEST_TIMEOUT, handle.wait_quiescent(&server_1, Revision(2)))
        .await
        .unwrap();
    assert!(timeout(TEST_TIMEOUT, call).await.unwrap().unwrap().body == "half");
    let load = handle.take_loads().await;
    assert_eq!((load.len(), load[0].count), (1, 1));
    assert!(load[0].busy_time >= SHORT_WAIT, "{load:?}");
    assert_eq!(handle.take_loads().await, Vec::new());
}

/// A caller disconnects, but the server was given 1.5 s for the request and may run it until
/// then. The server must not count as quiescent before that deadline.
#[tokio::test(flavor = "multi_thread")]
async fn an_abandoned_request_counts_until_its_deadline() {
    let server = ScriptedServer::start(vec![vec![Step::ReadRequest, Step::Hang]])
        .await
        .unwrap();
    let path = DataPath::start(server.address);
    let mut caller = TcpStream::connect(path.address).await.unwrap();
    let started = Instant::now();
    let post = String::from_utf8_lossy(POST_300_MS).replace(": 300", ": 1500");
    caller.write_all(post.as_bytes()).await.unwrap();
    wait_until("the request", || server.request_count() == 1).await;
    drop(caller);
    wait_until("the end of the connection", || {
        server.closed_connections() == 1
    })
    .await;
    path.publish(2, TEST_TIMEOUT);
    path.handle.wait_quiescent(&server_1(), Revision(2)).await;
    assert!(started.elapsed() >= Duration::from_millis(1_400));
}

/// A caller resends a request with the same `Idempotency-Key`, through the same and through
/// another instance. Each resend must be forwarded to the key's owner with the header unchanged;
/// the server decides whether to run it.
#[tokio::test(flavor = "multi_thread")]
async fn idempotency_keys_are_passed_on_to_the_same_owner() {
    let fine = vec![Step::ReadRequest, Step::respond("own")];
    let server = ScriptedServer::start(vec![fine]).await.unwrap();
    let instances = [
        DataPath::start(server.address),
        DataPath::start(server.address),
    ];
    let keyed = String::from_utf8_lossy(POST).replace("host: a", "host: a\r\nidempotency-key: k-7");
    for path in [&instances[0], &instances[0], &instances[1]] {
        let answer = path.send_raw(keyed.as_bytes(), SHORT_WAIT).await;
        assert!(answer.contains("citron-outcome: ran"), "{answer}");
    }
    assert_eq!(server.request_count(), 3);
    for connection in 0..3 {
        let text = server.received_text(connection);
        assert_eq!(text.matches("idempotency-key: k-7").count(), 1, "{text}");
    }
}

/// Guards against a message that is no response, or part of one, that a caller gets as one.
#[tokio::test(flavor = "multi_thread")]
async fn a_message_that_is_no_response_reaches_nobody() {
    let request = b"POST /kegs/bar-7 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
                    content-length: 2\r\n\r\nhi";
    let messages = [
        ("whole", "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"),
        ("without a length", "HTTP/1.1 200 OK\r\n\r\nok"),
        (
            "status 000",
            "HTTP/1.1 000 x\r\ncontent-length: 2\r\n\r\nok",
        ),
        (
            "status 101",
            "HTTP/1.1 101 x\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n",
        ),
        (
            "status 600",
            "HTTP/1.1 600 x\r\ncontent-length: 2\r\n\r\nok",
        ),
        (
            "status 999",
            "HTTP/1.1 999 x\r\ncontent-length: 2\r\n\r\nok",
        ),
        (
            "blank in a name",
            "HTTP/1.1 200 OK\r\nx y: 1\r\ncontent-length: 2\r\n\r\nok",
        ),
        (
            "0x01 in a name",
            "HTTP/1.1 200 OK\r\nx\x01y: 1\r\ncontent-length: 2\r\n\r\nok",
        ),
        ("cut head", "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r"),
        ("cut interim response", "HTTP/1.1 103 x\r\nlink: x\r\n"),
    ];
    let mut lines = Vec::new();
    for (name, message) in messages {
        for ending in [None, Some(Step::Reset)] {
            let mut script = vec![Step::ReadRequest, Step::write(message)];
            let is_reset = ending.is_some();
            script.extend(ending);
            let server = ScriptedServer::start(vec![script]).await.unwrap();
            let path = DataPath::start(server.address);
            let response = path.send_raw(request, TEST_TIMEOUT).await;
            let status = response.get(9..12).unwrap_or("none");
            lines.push(format!("{name}, reset {is_reset}: {status}"));
        }
    }
    insta::assert_snapshot!(lines.join("\n"), @r"
    whole, reset false: 200
    whole, reset true: 200
    without a length, reset false: 502
    without a length, reset true: 502
    status 000, reset false: 502
    status 000, reset true: 502
    status 101, reset false: 502
    status 101, reset true: 502
    status 600, reset false: 502
    status 600, reset true: 502
    status 999, reset false: 502
    status 999, reset true: 502
    blank in a name, reset false: 502
    blank in a name, reset true: 502
    0x01 in a name, reset false: 502
    0x01 in a name, reset true: 502
    cut head, reset false: 502
    cut head, reset true: 502
    cut interim response, reset false: 502
    cut interim response, reset true: 502
    ");
}
