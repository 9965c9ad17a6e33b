//! Reported outcomes when the exchange with a backend server fails at each of its stages: the
//! caller must learn exactly what is certain.

mod support;

use {
    citron_fakes::scripted::{ScriptedServer, Step},
    std::time::Duration,
    support::{DataPath, TEST_TIMEOUT},
    tokio::net::TcpListener,
};

const CUT_LENGTH: &str = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\npart";
const CUT_CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n";
const EPOCH_REFUSAL: &str = "HTTP/1.1 421 No\r\ncitron-refused: epoch\r\ncontent-length: 0\r\n\r\n";
const SHED_REFUSAL: &str =
    "HTTP/1.1 503 No\r\ncitron-refused: shed\r\nretry-after: 7\r\ncontent-length: 0\r\n\r\n";
/// Body size that exceeds the socket buffers between caller and server.
const LARGE_BODY: usize = 16 * 1_024 * 1_024;

fn post(body: usize) -> Vec<u8> {
    let head = format!(
        "POST /kegs/bar-7 HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {body}\r\n\r\n"
    );
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + body, b'x');
    bytes
}

fn get() -> Vec<u8> {
    b"GET /kegs/bar-7 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n".to_vec()
}

/// Status, outcome and `Retry-After` of a response, and whether its body is complete.
fn summary(answer: &str) -> String {
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or((answer, ""));
    let field = |name: &str| {
        head.lines()
            .find_map(|l| l.strip_prefix(name))
            .unwrap_or("-")
    };
    let status = field("HTTP/1.1 ").get(..3).unwrap_or("none");
    let length: Option<usize> = field("content-length: ").parse().ok();
    let whole = match length {
        Some(length) => body.len() == length,
        None => body.ends_with("0\r\n\r\n"),
    };
    let whole = if whole { "whole" } else { "CUT" };
    let outcome = field("citron-outcome: ");
    let retry = field("retry-after: ");
    format!("{status} {outcome} retry {retry} {whole}")
}

/// A server fails at one stage of the exchange, by reset or by close, and answers on further
/// connections. A request that is not idempotent must not be sent twice, since a server that has
/// read part of it may run it. Its outcome may be `not-run` only if no byte was written or the
/// server has guaranteed that it did not run.
#[tokio::test(flavor = "multi_thread")]
async fn every_point_has_its_exact_outcome() {
    let fine = vec![Step::ReadRequest, Step::respond("fine")];
    let cases: Vec<(&str, Vec<u8>, Vec<Step>)> = vec![
        ("POST head part", post(9), vec![Step::Read(10), Step::Reset]),
        (
            "POST body part",
            post(LARGE_BODY),
            vec![Step::ReadHead, Step::Read(1_000), Step::Reset],
        ),
        (
            "POST all written, reset",
            post(9),
            vec![Step::ReadRequest, Step::Reset],
        ),
        ("POST all written, closed", post(9), vec![Step::ReadRequest]),
        (
            "POST answer's head part",
            post(9),
            vec![Step::ReadRequest, Step::write("HTTP/1.1 200 OK\r\nconte")],
        ),
        (
            "POST answer's body part by length, reset",
            post(9),
            vec![
                Step::ReadRequest,
                Step::write(CUT_LENGTH),
                Step::Pause(Duration::from_millis(50)),
                Step::Reset,
            ],
        ),
        (
            "POST answer's body part by length, closed",
            post(9),
            vec![Step::ReadRequest, Step::write(CUT_LENGTH)],
        ),
        (
            "POST answer's body part in chunks, reset",
            post(9),
            vec![
                Step::ReadRequest,
                Step::write(CUT_CHUNKED),
                Step::Pause(Duration::from_millis(50)),
                Step::Reset,
            ],
        ),
        (
            "POST answer's body part in chunks, closed",
            post(9),
            vec![Step::ReadRequest, Step::write(CUT_CHUNKED)],
        ),
        (
            "POST answer without an end of its own",
            post(9),
            vec![
                Step::ReadRequest,
                Step::write("HTTP/1.1 200 OK\r\n\r\npart"),
            ],
        ),
        (
            "POST not HTTP",
            post(9),
            vec![Step::ReadRequest, Step::write("hello\r\n\r\n")],
        ),
        (
            "POST refused by load",
            post(9),
            vec![Step::ReadHead, Step::Read(9), Step::write(SHED_REFUSAL)],
        ),
        (
            "POST refused by epoch, then taken",
            post(9),
            vec![Step::ReadHead, Step::write(EPOCH_REFUSAL)],
        ),
        ("GET head part", get(), vec![Step::Read(10), Step::Reset]),
        (
            "GET all written, reset",
            get(),
            vec![Step::ReadRequest, Step::Reset],
        ),
        (
            "GET answer's head part",
            get(),
            vec![Step::ReadRequest, Step::write("HTTP/1.1 200 OK\r\nconte")],
        ),
        (
            "GET answer's body part by length",
            get(),
            vec![Step::ReadRequest, Step::write(CUT_LENGTH)],
        ),
    ];
    let mut lines = Vec::new();
    for (case, request, script) in cases {
        let server = ScriptedServer::start(vec![script, fine.clone()])
            .await
            .unwrap();
        let path = DataPath::start(server.address);
        let answer = path.send_raw(&request, Duration::from_secs(2)).await;
        let (runs, begun) = (server.request_count(), server.used_connections());
        lines.push(format!(
            "{case}: {}; begun {begun}, runs {runs}",
            summary(&answer)
        ));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// The server does not listen: the outcome must be `not-run`, with `Retry-After`.
#[tokio::test(flavor = "multi_thread")]
async fn before_connect_nothing_ran() {
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = closed.local_addr().unwrap();
    drop(closed);
    let path = DataPath::start(address);
    let answer = path.send_raw(&post(9), TEST_TIMEOUT).await;
    insta::assert_snapshot!(summary(&answer), @"503 not-run retry 1 whole");
}

/// The server's backlog is full, so that connecting takes about a second. In the meantime the
/// instance's routing lease ends, and the key may have a new owner. Once connected, the request
/// must not be written.
#[tokio::test(flavor = "multi_thread")]
async fn a_lease_that_ends_while_connecting_stops_the_write() {
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    let mut fill = Vec::new();
    for _ in 0..2 {
        fill.push(tokio::net::TcpStream::connect(address).await.unwrap());
    }
    let path = DataPath::start(address);
    path.publish(2, Duration::from_millis(300));
    let drain = tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(600)).await;
        let mut read = 0;
        for _ in 0..3 {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut bytes = [0; 1_024];
            let wait = Duration::from_secs(2);
            let seen = tokio::io::AsyncReadExt::read(&mut stream, &mut bytes);
            read += tokio::time::timeout(wait, seen)
                .await
                .map_or(0, |read| read.unwrap_or(0));
            drop(stream);
            fill.pop();
        }
        read
    });
    let answer = path.send_raw(&post(9), TEST_TIMEOUT).await;
    insta::assert_snapshot!(summary(&answer), @"503 not-run retry 1 whole");
    assert_eq!(
        drain.await.unwrap(),
        0,
        "a request was written after the routing lease had ended"
    );
}
