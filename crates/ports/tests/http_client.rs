//! Calls over kept connections: what is certain when there is no answer.

use {
    bytes::Bytes,
    citron_ports::{CallError, HttpClient, IdleTimeout},
    http::Request,
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
        time::Instant,
    },
};

const TIMEOUT: Duration = Duration::from_millis(300);

fn request() -> Request<Bytes> {
    Request::new(Bytes::new())
}

/// Nobody listens. The caller may send the same elsewhere: nothing was seen.
#[tokio::test]
async fn a_call_to_nobody_was_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let ended = HttpClient::new(address, 1_024)
        .call(request(), TIMEOUT)
        .await;
    assert!(matches!(ended, Err(CallError::NotSent(_))), "{ended:?}");
}

/// The other side takes the call and is silent. After its time the call is reset,
/// so that an order which is still held up cannot be carried out later: a lease is
/// counted from the latest moment at which its grant can arrive.
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

/// A connection that the other side has closed is not used again.
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

/// Answers with a body in so many parts, a tenth of [`SPAN`] apart, and then nothing.
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

/// Guards against a long answer that is cut off while it comes, and asked for anew.
#[tokio::test]
async fn an_answer_that_keeps_coming_is_read_to_its_end() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = HttpClient::new(listener.local_addr().unwrap(), 1_024);
    tokio::spawn(send_parts(listener, 100, 25));
    let mut idle = IdleTimeout::new(TIMEOUT, TIMEOUT);
    let answer = client.fetch(request(), &mut idle).await.unwrap();
    assert_eq!(answer.body().len(), 100);
}

/// Guards against a wait for the rest of an answer whose sender stands still.
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

/// Guards against an answer that uses up the memory of who reads it.
#[tokio::test]
async fn an_answer_that_is_too_long_is_given_up() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = HttpClient::new(listener.local_addr().unwrap(), 16);
    tokio::spawn(send_parts(listener, 100, 25));
    let ended = client.call(request(), TIMEOUT * 10).await;
    assert!(
        matches!(ended, Err(CallError::OutcomeUnknown(_))),
        "{ended:?}"
    );
}
