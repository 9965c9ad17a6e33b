//! Requests with ambiguous framing, and limits for a single caller, over raw sockets.

mod support;

use {
    citron_core::table::Row,
    citron_fakes::scripted::{ScriptedServer, Step},
    citronproxy::traffic::Limits,
    std::time::{Duration, Instant},
    support::{DataPath, TEST_TIMEOUT, read_all},
    tokio::{
        io::AsyncWriteExt,
        net::TcpStream,
        time::{sleep, timeout},
    },
};

/// Time without data after which a response counts as ended.
const READ_WAIT: Duration = Duration::from_millis(150);
/// Request that follows each message; it would be forwarded with the message if the end of the
/// message were misread.
const SMUGGLED: &str = "GET /kegs/smuggled HTTP/1.1\r\nhost: a\r\n\r\n";

async fn start_server() -> ScriptedServer {
    let script = vec![Step::ReadRequest, Step::respond("fine"), Step::Hang];
    ScriptedServer::start(vec![script]).await.unwrap()
}

/// Sends a message followed by `SMUGGLED`; returns status, outcome, whether the connection was
/// closed, and what was passed on to the server.
async fn send_message(head: &str, body: &str) -> String {
    let server = start_server().await;
    let path = DataPath::start(server.address);
    let mut stream = TcpStream::connect(path.address).await.unwrap();
    let head = head
        .replace('\n', "\r\n")
        .replace("\\n", "\n")
        .replace("\\r", "\r");
    let message = format!("{head}\r\n\r\n{body}{SMUGGLED}");
    let _ = stream.write_all(message.as_bytes()).await;
    let answer = read_all(&mut stream, READ_WAIT).await;
    let field = |name: &str| {
        answer
            .lines()
            .find_map(|l| l.strip_prefix(name))
            .unwrap_or("-")
    };
    let outcome = field("citron-outcome: ");
    let status = field("HTTP/1.").get(2..5).unwrap_or("none");
    let closed = stream.write_all(b"x").await.is_err()
        || timeout(
            READ_WAIT,
            tokio::io::AsyncReadExt::read(&mut stream, &mut [0; 8]),
        )
        .await
        .is_ok();
    let ended = if closed { "closed" } else { "open" };
    let smuggled = server.received_text(0).contains("smuggled")
        || server.received_text(1).contains("smuggled");
    let passed = match (server.used_connections(), smuggled) {
        (0, false) => "nothing passed on",
        (_, false) => "passed on",
        (_, true) => "next request passed on",
    };
    format!("{status} {outcome} {ended}, {passed}")
}

/// A caller sends a message with ambiguous framing, followed by another request. If the message
/// were passed on, instance and server could disagree on its end, and the second request could
/// be taken for a part of the first or the reverse (request smuggling). The last cases are valid
/// and must be passed on.
#[tokio::test(flavor = "multi_thread")]
async fn doubtful_shapes_are_refused() {
    const POST: &str = "POST /kegs/a HTTP/1.1\nhost: a\n";
    let cases: Vec<(&str, String, &str)> = vec![
        (
            "two lengths that differ",
            format!("{POST}content-length: 2\ncontent-length: 3"),
            "hi!",
        ),
        (
            "two equal lengths",
            format!("{POST}content-length: 2\ncontent-length: 2"),
            "hi",
        ),
        (
            "a list of lengths",
            format!("{POST}content-length: 2, 2"),
            "hi",
        ),
        ("a signed length", format!("{POST}content-length: +2"), "hi"),
        (
            "a negative length",
            format!("{POST}content-length: -2"),
            "hi",
        ),
        (
            "a hexadecimal length",
            format!("{POST}content-length: 0x2"),
            "hi",
        ),
        ("an empty length", format!("{POST}content-length:"), "hi"),
        (
            "a length beyond 64 bits",
            format!("{POST}content-length: 18446744073709551618"),
            "hi",
        ),
        (
            "length, then chunked",
            format!("{POST}content-length: 2\ntransfer-encoding: chunked"),
            "2\r\nhi\r\n0\r\n\r\n",
        ),
        (
            "chunked, then length",
            format!("{POST}transfer-encoding: chunked\ncontent-length: 2"),
            "2\r\nhi\r\n0\r\n\r\n",
        ),
        (
            "chunked twice",
            format!("{POST}transfer-encoding: chunked\ntransfer-encoding: chunked"),
            "0\r\n\r\n",
        ),
        (
            "chunked not last",
            format!("{POST}transfer-encoding: chunked, identity"),
            "0\r\n\r\n",
        ),
        (
            "another encoding",
            format!("{POST}transfer-encoding: xchunked"),
            "0\r\n\r\n",
        ),
        (
            "space before the colon",
            format!("{POST}content-length : 2"),
            "hi",
        ),
        (
            "a folded header",
            format!("{POST}x-a: 1\n content-length: 2"),
            "hi",
        ),
        ("NUL in a value", format!("{POST}x-a: 1\0"), ""),
        (
            "a bare LF",
            format!("{POST}x-a: 1\\ncontent-length: 2"),
            "hi",
        ),
        (
            "a bare CR",
            format!("{POST}x-a: 1\\rcontent-length: 2"),
            "hi",
        ),
        ("a header without a name", format!("{POST}: 1"), ""),
        ("two hosts", format!("{POST}host: b"), ""),
        ("no host", "GET /kegs/a HTTP/1.1\nx-a: 1".to_string(), ""),
        (
            "space in the target",
            "GET /kegs/a b HTTP/1.1\nhost: a".to_string(),
            "",
        ),
        (
            "an unknown version",
            "GET /kegs/a HTTP/1.7\nhost: a".to_string(),
            "",
        ),
        ("HTTP/1.0", "GET /kegs/a HTTP/1.0\nhost: a".to_string(), ""),
        ("a tunnel", "CONNECT a:80 HTTP/1.1\nhost: a".to_string(), ""),
        (
            "a chunk's size is no number",
            format!("{POST}transfer-encoding: chunked"),
            "zz\r\nhi\r\n0\r\n\r\n",
        ),
        (
            "a chunk's size is too long",
            format!("{POST}transfer-encoding: chunked"),
            "10000000000000002\r\nhi\r\n0\r\n\r\n",
        ),
        (
            "a chunk is longer than its size",
            format!("{POST}transfer-encoding: chunked"),
            "1\r\nhi\r\n0\r\n\r\n",
        ),
        (
            "a bare LF after a chunk's size",
            format!("{POST}transfer-encoding: chunked"),
            "2\nhi\r\n0\r\n\r\n",
        ),
        (
            "NUL in a chunk extension",
            format!("{POST}transfer-encoding: chunked"),
            "2;a=\0\r\nhi\r\n0\r\n\r\n",
        ),
        ("fine: a length", format!("{POST}content-length: 2"), "hi"),
        (
            "fine: chunks, an extension, a trailer",
            format!("{POST}transfer-encoding: chunked"),
            "2;a=b\r\nhi\r\n0\r\nx-t: 1\r\n\r\n",
        ),
        (
            "fine: no body",
            "GET /kegs/a HTTP/1.1\nhost: a".to_string(),
            "",
        ),
        (
            "fine: the whole URI as target",
            "GET http://a/kegs/a HTTP/1.1\nhost: a".to_string(),
            "",
        ),
    ];
    let mut lines = Vec::new();
    for (case, head, body) in cases {
        lines.push(format!("{case}: {}", send_message(&head, body).await));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// Hop-by-hop headers must not be passed on in either direction: a server would apply them to a
/// connection that other callers share.
#[tokio::test(flavor = "multi_thread")]
async fn hop_by_hop_headers_are_not_passed_on() {
    let answer = "HTTP/1.1 200 OK\r\nconnection: x-hop\r\nx-hop: 1\r\nkeep-alive: timeout=9\r\nx-end: 2\r\ncontent-length: 0\r\n\r\n";
    let script = vec![Step::ReadRequest, Step::write(answer), Step::Hang];
    let server = ScriptedServer::start(vec![script]).await.unwrap();
    let path = DataPath::start(server.address);
    let request = "GET /kegs/a HTTP/1.1\r\nhost: a\r\nconnection: x-hop, close\r\nx-hop: 1\r\nte: trailers\r\nkeep-alive: 5\r\nupgrade: h2c\r\nproxy-authorization: secret\r\nx-end: 2\r\n\r\n";
    let answer = path.send_raw(request.as_bytes(), TEST_TIMEOUT).await;
    for text in [server.received_text(0), answer] {
        for name in ["x-hop", "te:", "keep-alive", "upgrade", "proxy-auth"] {
            assert!(!text.contains(&format!("\r\n{name}")), "{name} in {text}");
        }
        assert!(text.contains("x-end: 2"), "{text}");
    }
}

/// Heads with too many bytes or lines, and bodies over the limit, with a length or chunked, must
/// be refused before they use more memory.
#[tokio::test(flavor = "multi_thread")]
async fn sizes_are_limited() {
    let limits = Limits {
        max_head_bytes: 4_096,
        max_body_bytes: 1_000,
        ..Limits::default()
    };
    let server = start_server().await;
    let path = DataPath::start_with(server.address, limits, |_| {});
    let start = "POST /kegs/a HTTP/1.1\r\nhost: a\r\n";
    let long = format!("{start}x-a: {}\r\n\r\n", "a".repeat(5_000));
    let many = format!("{start}{}\r\n", "a: b\r\n".repeat(200));
    let body = format!("{start}content-length: 1001\r\n\r\n{}", "a".repeat(1_001));
    let chunks = "1f4\r\n".to_string() + &"a".repeat(500) + "\r\n";
    let chunks = format!(
        "{start}transfer-encoding: chunked\r\n\r\n{}0\r\n\r\n",
        chunks.repeat(3)
    );
    let cases = [("431", long), ("431", many), ("413", body), ("413", chunks)];
    for (status, message) in cases {
        let answer = path.send_raw(message.as_bytes(), READ_WAIT).await;
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status}")),
            "{status}: {answer}"
        );
    }
    assert_eq!(server.request_count(), 0);
}

/// One caller sends a head byte by byte, another keeps a connection without a request. Both must
/// be disconnected, while a fast request is served.
#[tokio::test(flavor = "multi_thread")]
async fn slow_heads_and_idle_connections_end() {
    let limits = Limits {
        head_timeout: Duration::from_millis(300),
        idle_timeout: Duration::from_millis(900),
        ..Limits::default()
    };
    let server = start_server().await;
    let path = DataPath::start_with(server.address, limits, |_| {});
    let mut slow = TcpStream::connect(path.address).await.unwrap();
    let mut idle = TcpStream::connect(path.address).await.unwrap();
    let started = Instant::now();
    for byte in SMUGGLED.bytes() {
        if slow.write_all(&[byte]).await.is_err() {
            break;
        }
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(read_all(&mut slow, TEST_TIMEOUT).await, "");
    assert!(started.elapsed() < TEST_TIMEOUT / 2);
    assert_eq!(read_all(&mut idle, TEST_TIMEOUT).await, "");
    assert!(started.elapsed() < TEST_TIMEOUT / 2);
    assert_eq!(server.used_connections(), 0);
    assert!(
        path.send_raw(SMUGGLED.as_bytes(), READ_WAIT)
            .await
            .contains("fine")
    );
}

/// A chunked body ends early, by an invalid chunk or by disconnection. The method is idempotent,
/// but the partial body must never be passed on as a complete one.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_cut_short_is_not_passed_on_as_whole() {
    let server = start_server().await;
    let path = DataPath::start_with(server.address, Limits::default(), |row| {
        if let Row::Service(row) = row {
            row.idempotent_methods.push("PUT".to_string());
        }
    });
    let half = "PUT /kegs/a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhi\r\nzz";
    path.send_raw(half.as_bytes(), READ_WAIT).await;
    let mut stream = TcpStream::connect(path.address).await.unwrap();
    stream
        .write_all(&half.as_bytes()[..half.len() - 2])
        .await
        .unwrap();
    sleep(READ_WAIT).await;
    drop(stream);
    sleep(READ_WAIT).await;
    assert_eq!(server.request_count(), 0, "{}", server.received_text(0));
}
