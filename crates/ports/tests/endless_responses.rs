//! Calls to servers that send bytes without end: orders, health checks and reads.

use {
    bytes::Bytes,
    citron_fakes::flood::{FloodKind, FloodServer, HeaderLines},
    citron_ports::{HttpClient, IdleTimeout},
    http::{HeaderName, Request},
    std::time::Duration,
    tokio::time::{sleep, timeout},
};

/// Time limit of the calls. A client that does not end a call reads as fast as it can.
const TIME_LIMIT: Duration = Duration::from_millis(700);
/// Time after which a call that has not ended counts as one without end.
const GUARD: Duration = Duration::from_secs(10);
const MAX_BODY_BYTES: usize = 64 * 1_024;
/// Bytes that the kernel keeps for both ends of a connection, and what a client may read.
const WRITTEN_MAX: u64 = 16 << 20;

fn request() -> Request<Bytes> {
    let request = Request::get("/flooded");
    request.body(Bytes::new()).unwrap()
}

/// Waits until the client has closed the connections of all floods.
async fn until_closed(server: &FloodServer, kind: FloodKind) {
    let closed = async {
        while server.open() > 0 {
            sleep(Duration::from_millis(5)).await;
        }
    };
    assert!(timeout(GUARD, closed).await.is_ok(), "{kind:?}");
}

/// Makes a call at each kind of flood, and checks that it ends, that its connection is closed
/// and how many bytes were taken. The response of a flood behind it is complete.
async fn check(call: impl AsyncFn(&HttpClient) -> bool) {
    for kind in FloodKind::ALL {
        let server = FloodServer::start(&["/flooded"], HeaderLines::default())
            .await
            .unwrap();
        server.set_flood(Some(kind));
        let client = HttpClient::new(server.address, MAX_BODY_BYTES);
        let has_response = timeout(GUARD, call(&client)).await;
        let has_response = has_response.unwrap_or_else(|_| panic!("{kind:?}: no outcome"));
        assert_eq!(has_response, kind == FloodKind::Excess, "{kind:?}");
        until_closed(&server, kind).await;
        assert_eq!(server.begun(), 1, "{kind:?}");
        let bytes = server.written_bytes();
        assert!(bytes < WRITTEN_MAX, "{kind:?}: {bytes} bytes");
    }
}

/// Guards against an order that never ends, or that reads until its time is over, at a server
/// that sends bytes without end.
#[tokio::test(flavor = "multi_thread")]
async fn orders_end_at_a_server_that_sends_bytes_without_end() {
    let name = HeaderName::from_static("request-id");
    check(async |client| {
        let admits = async |_| true;
        let reply = client.call_identified(request(), &name, |_| false, admits, TIME_LIMIT);
        reply.await.is_ok()
    })
    .await;
}

/// As the test above, for health checks.
#[tokio::test(flavor = "multi_thread")]
async fn health_checks_end_at_a_server_that_sends_bytes_without_end() {
    check(async |client| client.call(request(), TIME_LIMIT).await.is_ok()).await;
}

/// Guards against reads without end of a response that may take as long as bytes arrive.
#[tokio::test(flavor = "multi_thread")]
async fn reads_end_at_a_peer_that_sends_bytes_without_end() {
    check(async |client| {
        let mut idle = IdleTimeout::new(TIME_LIMIT, TIME_LIMIT);
        client.fetch(request(), &mut idle).await.is_ok()
    })
    .await;
}
