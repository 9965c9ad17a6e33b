//! The HTTP client: outcome of failed calls, reuse of connections and read limits.

use {
    bytes::Bytes,
    citron_ports::{CallError, HttpClient, IdleTimeout, Reply},
    http::{HeaderName, Request, Response, StatusCode},
    std::{collections::BTreeSet, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::Instant,
    },
};

const TIMEOUT: Duration = Duration::from_millis(300);

fn request() -> Request<Bytes> {
    Request::new(Bytes::new())
}

/// A refused connection must be reported as not sent, so that the caller can safely send the
/// request to another address.
#[tokio::test]
async fn a_refused_connection_is_reported_as_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let ended = HttpClient::new(address, 1_024)
        .call(request(), TIMEOUT)
        .await;
    assert!(matches!(ended, Err(CallError::NotSent(_))), "{ended:?}");
}

/// Guards against an order that takes effect after its call has timed out. A lease is
/// counted from the latest time at which its grant can arrive, so the connection must be
/// reset, which discards a delayed request.
#[tokio::test]
async fn a_call_without_an_answer_is_reset_when_its_time_is_over() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = HttpClient::new(listener.local_addr().unwrap(), 1_024);
    let silent = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut read = Vec::new();
        stream.read_to_end(&mut read).await
    });
    let ended = client.call(request(), TIMEOUT).await;
    assert!(
        matches!(ended, Err(CallError::OutcomeUnknown(_))),
        "{ended:?}"
    );
    let seen = silent.await.unwrap();
    assert!(seen.is_err(), "the connection ended without a reset");
}

/// Guards against the reuse of a pooled connection that the peer has closed.
#[tokio::test]
async fn a_connection_that_was_closed_is_not_used_again() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = HttpClient::new(listener.local_addr().unwrap(), 1_024);
    let served = tokio::spawn(async move {
        for _ in 0..2 {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut read = [0; 1_024];
            assert!(stream.read(&mut read).await.unwrap() > 0);
            stream
                .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
                .await
                .unwrap();
            stream.shutdown().await.unwrap();
        }
        Instant::now()
    });
    for _ in 0..2 {
        let answer = client
            .call(request(), Duration::from_secs(5))
            .await
            .unwrap();
        assert_eq!(answer.body().as_ref(), b"ok");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    served.await.unwrap();
}

/// Sends the given number of parts of a response body, a tenth of [`TIMEOUT`] apart, and
/// then stalls.
async fn send_parts(listener: TcpListener, length: usize, parts: usize) {
    let (mut stream, _) = listener.accept().await.unwrap();
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    for _ in 0..parts {
        tokio::time::sleep(TIMEOUT / 10).await;
        stream.write_all(b"part").await.unwrap();
    }
    tokio::time::sleep(TIMEOUT * 100).await;
}

/// Guards against a long response that is aborted while data still arrives, and then
/// requested again.
#[tokio::test]
async fn an_answer_that_keeps_coming_is_read_to_its_end() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = HttpClient::new(listener.local_addr().unwrap(), 1_024);
    tokio::spawn(send_parts(listener, 100, 25));
    let mut idle = IdleTimeout::new(TIMEOUT, TIMEOUT);
    let answer = client.fetch(request(), &mut idle).await.unwrap();
    assert_eq!(answer.body().len(), 100);
}

/// Guards against a client that waits for the rest of a response whose sender has stalled.
#[tokio::test]
async fn an_answer_that_stops_coming_is_given_up() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = HttpClient::new(listener.local_addr().unwrap(), 1_024);
    tokio::spawn(send_parts(listener, 100, 5));
    let mut idle = IdleTimeout::new(TIMEOUT, TIMEOUT);
    let ended = client.fetch(request(), &mut idle).await;
    assert!(
        matches!(ended, Err(CallError::OutcomeUnknown(_))),
        "{ended:?}"
    );
}

/// Guards against a response that exhausts the memory of the client.
#[tokio::test]
async fn an_answer_that_is_too_long_is_given_up() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = HttpClient::new(listener.local_addr().unwrap(), 16);
    tokio::spawn(send_parts(listener, 100, 25));
    let ended = client.call(request(), TIMEOUT * 10).await;
    assert!(
        matches!(ended, Err(CallError::TooLong { max_bytes: 16 })),
        "{ended:?}"
    );
}

/// Reads a request, and writes responses in which `{id}` stands for the request's id. Returns
/// the id.
async fn respond(stream: &mut TcpStream, responses: &[&str]) -> String {
    let mut read = [0; 1_024];
    let size = stream.read(&mut read).await.unwrap();
    let request = std::str::from_utf8(&read[..size]).unwrap();
    let mut lines = request.lines();
    let id = lines.find_map(|line| line.strip_prefix("request-id: "));
    let id = id.unwrap().to_string();
    let responses = responses.concat().replace("{id}", &id);
    stream.write_all(responses.as_bytes()).await.unwrap();
    id
}

/// Sends an order, which takes no response but its own.
async fn order(client: &HttpClient) -> Result<Response<Bytes>, CallError> {
    let name = HeaderName::from_static("request-id");
    let reply = client.call_identified(request(), &name, |_| true, async |_| true, TIMEOUT * 10);
    reply.await.map(|reply| reply.response)
}

/// As [`order`], for a response that needs no proof.
async fn unproven_order(client: &HttpClient) -> Result<Reply, CallError> {
    let name = HeaderName::from_static("request-id");
    let reply = client.call_identified(request(), &name, |_| false, async |_| true, TIMEOUT * 10);
    reply.await
}

const DONE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
const NAMED: &str = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\ncontent-length: 0\r\n\r\n";
const FULL: &str = "HTTP/1.1 503 x\r\ncontent-length: 0\r\n\r\n";

/// Guards against an additional response to a call that is taken for the response to the next
/// call on the connection.
#[tokio::test]
async fn an_additional_response_is_not_taken_for_that_to_the_next_call() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = HttpClient::new(listener.local_addr().unwrap(), 1_024);
    tokio::spawn(async move {
        let (mut first, _) = listener.accept().await.unwrap();
        respond(&mut first, &[DONE]).await;
        respond(&mut first, &[DONE]).await;
        let (mut second, _) = listener.accept().await.unwrap();
        respond(&mut second, &[FULL]).await;
        tokio::time::sleep(TIMEOUT * 100).await;
    });
    assert_eq!(order(&client).await.unwrap().status(), 200);
    let second = order(&client).await.map(|response| response.status());
    assert!(
        matches!(second, Ok(StatusCode::SERVICE_UNAVAILABLE)),
        "{second:?}"
    );
}

/// Guards against a response with the id of another call that is taken, and against further
/// calls on its connection, whose responses would be those to the calls before.
#[tokio::test]
async fn a_response_with_another_id_is_discarded_with_its_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = HttpClient::new(listener.local_addr().unwrap(), 1_024);
    tokio::spawn(async move {
        let (mut first, _) = listener.accept().await.unwrap();
        let id = respond(&mut first, &[NAMED]).await;
        respond(&mut first, &[&NAMED.replace("{id}", &id)]).await;
        let (mut second, _) = listener.accept().await.unwrap();
        respond(&mut second, &[NAMED]).await;
        tokio::time::sleep(TIMEOUT * 100).await;
    });
    assert_eq!(order(&client).await.unwrap().status(), 200);
    let other = unproven_order(&client).await;
    assert!(matches!(other, Err(CallError::OtherCall(_))), "{other:?}");
    assert_eq!(order(&client).await.unwrap().status(), 200);
}

/// Guards against a connection for each call to a peer that repeats ids, and against equal ids
/// of two calls.
#[tokio::test]
async fn calls_whose_ids_are_repeated_share_a_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = HttpClient::new(listener.local_addr().unwrap(), 1_024);
    let served = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut ids = BTreeSet::new();
        for _ in 0..5 {
            ids.insert(respond(&mut stream, &[NAMED]).await);
        }
        ids
    });
    for _ in 0..5 {
        assert_eq!(order(&client).await.unwrap().status(), 200);
    }
    assert_eq!(served.await.unwrap().len(), 5);
}

/// Guards against a connection for each call to a peer that repeats no ids, if the response
/// needs no proof.
#[tokio::test]
async fn calls_that_need_no_proof_share_a_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = HttpClient::new(listener.local_addr().unwrap(), 1_024);
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        for _ in 0..5 {
            respond(&mut stream, &[DONE]).await;
        }
        tokio::time::sleep(TIMEOUT * 100).await;
    });
    for _ in 0..5 {
        let reply = unproven_order(&client).await.unwrap();
        assert!(reply.unproven.is_none());
    }
}

/// Guards against a request that may have run and is reported as not sent, as it could not be
/// sent a second time.
#[tokio::test]
async fn a_request_that_cannot_be_sent_again_may_have_run() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = HttpClient::new(listener.local_addr().unwrap(), 1_024);
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        drop(listener);
        respond(&mut stream, &[DONE]).await;
        respond(&mut stream, &[DONE]).await;
        tokio::time::sleep(TIMEOUT * 100).await;
    });
    assert_eq!(order(&client).await.unwrap().status(), 200);
    let second = order(&client).await;
    assert!(
        matches!(second, Err(CallError::OutcomeUnknown(_))),
        "{second:?}"
    );
}

/// Sends an order that is only for a process known to have been running since a time.
async fn order_for(client: &HttpClient, since: Instant) -> Result<StatusCode, CallError> {
    let name = HeaderName::from_static("request-id");
    let admits = async |known_since| Instant::from_std(known_since) <= since;
    let reply = client.call_identified(request(), &name, |_| true, admits, TIMEOUT * 10);
    reply.await.map(|reply| reply.response.status())
}

/// Guards against an order that reaches the next process at an address.
#[tokio::test]
async fn an_order_for_a_former_process_is_not_sent_to_the_next_one() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = HttpClient::new(listener.local_addr().unwrap(), 1_024);
    let next = tokio::spawn(async move {
        let (mut former, _) = listener.accept().await.unwrap();
        respond(&mut former, &[NAMED]).await;
        drop(former);
        let (mut next, _) = listener.accept().await.unwrap();
        let mut read = [0; 1_024];
        tokio::time::timeout(TIMEOUT, next.read(&mut read)).await
    });
    assert_eq!(order(&client).await.unwrap().status(), 200);
    let since = Instant::now();
    tokio::time::sleep(TIMEOUT / 10).await;
    let refused = order_for(&client, since).await;
    assert!(
        matches!(refused, Err(CallError::NotAdmitted)),
        "{refused:?}"
    );
    let received = next.await.unwrap();
    assert!(received.is_err(), "{received:?}");
}

/// Guards against a process that counts as another one, as it has closed the connection on
/// which it was known.
#[tokio::test]
async fn a_spare_connection_leads_to_the_process_that_closes_the_first() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = HttpClient::new(listener.local_addr().unwrap(), 1_024);
    tokio::spawn(async move {
        let (mut first, _) = listener.accept().await.unwrap();
        respond(&mut first, &[NAMED]).await;
        let (mut spare, _) = listener.accept().await.unwrap();
        respond(&mut first, &[NAMED]).await;
        drop(first);
        respond(&mut spare, &[NAMED]).await;
        tokio::time::sleep(TIMEOUT * 100).await;
    });
    assert_eq!(order(&client).await.unwrap().status(), 200);
    let since = Instant::now();
    client.keep_spare(TIMEOUT).await.unwrap();
    for _ in 0..2 {
        assert_eq!(order_for(&client, since).await.unwrap(), 200);
        tokio::time::sleep(TIMEOUT / 10).await;
    }
}
