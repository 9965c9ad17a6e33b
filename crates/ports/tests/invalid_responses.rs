//! Calls to peers in trouble: invalid heads, and responses that break off.

use {
    bytes::Bytes,
    citron_ports::{HttpClient, Prober, ServerClient},
    http::{HeaderName, Method, Request},
    insta::assert_snapshot,
    std::{fmt::Write, net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
    },
};

const TIME_LIMIT: Duration = Duration::from_secs(2);
const MAX_BODY_BYTES: usize = 1 << 20;
/// More than the kernel takes for a peer that reads nothing.
const LARGE_BYTES: usize = 24_000_000;

const WHOLE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";

/// How a peer closes its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    Close,
    Reset,
}

/// Starts a peer that responds to heads, reads no bodies, and closes its connections.
async fn start_peer(response: &'static str, ending: Ending) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                match stream.read_u8().await {
                    Ok(byte) => head.push(byte),
                    Err(_) => break,
                }
            }
            // The client may have closed the connection.
            let _ = stream.write_all(response.as_bytes()).await;
            match ending {
                Ending::Close => {
                    let _ = stream.shutdown().await;
                    tokio::spawn(async move {
                        tokio::time::sleep(TIME_LIMIT).await;
                        drop(stream);
                    });
                }
                Ending::Reset => stream.set_zero_linger().unwrap(),
            }
        }
    });
    address
}

/// Calls of all kinds that take a response, by whether they do.
async fn outcomes(response: &'static str, ending: Ending) -> String {
    let address = start_peer(response, ending).await;
    let client = || HttpClient::new(address, MAX_BODY_BYTES);
    let request = |method, body| {
        let request = Request::builder().method(method).uri("/a");
        request.body(body).unwrap()
    };
    let name = HeaderName::from_static("request-id");
    let read = request(Method::GET, Bytes::new());
    let read = client().call(read, TIME_LIMIT).await;
    let write = vec![b'x'; LARGE_BYTES].into();
    let write = client().call(request(Method::PUT, write), TIME_LIMIT).await;
    let order = request(Method::POST, Bytes::from_static(b"{}"));
    let admits = async |_| true;
    let order_client = client();
    let order = order_client.call_identified(order, &name, |_| false, admits, TIME_LIMIT);
    // The reset may fail the write before a whole response is read.
    let is_racing = ending == Ending::Reset && response == WHOLE;
    let probe = ServerClient::default().probe(address).await;
    let taken = [
        ("read", read.is_ok()),
        ("large write", write.is_ok() && !is_racing),
        ("order", order.await.is_ok()),
        ("probe", probe.is_ok()),
    ];
    let taken = taken.into_iter().filter(|(_, is_taken)| *is_taken);
    let taken: Vec<&str> = taken.map(|(call, _)| call).collect();
    taken.join(", ")
}

/// Guards against a message that is no response, or part of one, that counts as the response of
/// the store or of a backend server.
#[tokio::test(flavor = "multi_thread")]
async fn calls_take_only_whole_responses() {
    let responses = [
        ("whole", WHOLE),
        ("without a length", "HTTP/1.1 200 OK\r\n\r\n{}"),
        (
            "cut to a length",
            "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n{}",
        ),
        (
            "cut in chunks",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\n{}\r\n",
        ),
        ("cut after the status line", "HTTP/1.1 200 OK\r\n"),
        ("cut in a name", "HTTP/1.1 200 OK\r\ncontent-len"),
        (
            "cut before the last line feed",
            "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r",
        ),
        (
            "cut in an interim response",
            "HTTP/1.1 103 x\r\nlink: x\r\n",
        ),
        (
            "status 000",
            "HTTP/1.1 000 x\r\ncontent-length: 2\r\n\r\n{}",
        ),
        (
            "status 101",
            "HTTP/1.1 101 x\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n",
        ),
        (
            "status 600",
            "HTTP/1.1 600 x\r\ncontent-length: 2\r\n\r\n{}",
        ),
        (
            "status 999",
            "HTTP/1.1 999 x\r\ncontent-length: 2\r\n\r\n{}",
        ),
        (
            "blank in a name",
            "HTTP/1.1 200 OK\r\nx y: 1\r\ncontent-length: 2\r\n\r\n{}",
        ),
        (
            "0x01 in a name",
            "HTTP/1.1 200 OK\r\nx\x01y: 1\r\ncontent-length: 2\r\n\r\n{}",
        ),
        (
            "blank before the colon",
            "HTTP/1.1 200 OK\r\nx : 1\r\ncontent-length: 2\r\n\r\n{}",
        ),
        (
            "two status lines",
            "HTTP/1.1 200 OK\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}",
        ),
    ];
    let mut lines = String::new();
    for (name, response) in responses {
        for ending in [Ending::Close, Ending::Reset] {
            let taken = outcomes(response, ending).await;
            writeln!(lines, "{name}, {ending:?}: [{taken}]").unwrap();
        }
    }
    assert_snapshot!(lines, @r"
    whole, Close: [read, large write, order, probe]
    whole, Reset: [read, order, probe]
    without a length, Close: [read, order, probe]
    without a length, Reset: []
    cut to a length, Close: []
    cut to a length, Reset: []
    cut in chunks, Close: []
    cut in chunks, Reset: []
    cut after the status line, Close: []
    cut after the status line, Reset: []
    cut in a name, Close: []
    cut in a name, Reset: []
    cut before the last line feed, Close: []
    cut before the last line feed, Reset: []
    cut in an interim response, Close: []
    cut in an interim response, Reset: []
    status 000, Close: []
    status 000, Reset: []
    status 101, Close: []
    status 101, Reset: []
    status 600, Close: []
    status 600, Reset: []
    status 999, Close: []
    status 999, Reset: []
    blank in a name, Close: []
    blank in a name, Reset: []
    0x01 in a name, Close: []
    0x01 in a name, Reset: []
    blank before the colon, Close: []
    blank before the colon, Reset: []
    two status lines, Close: []
    two status lines, Reset: []
    ");
}
