//! Tests of the fake network link.

use {
    citron_fakes::link::Link,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
            mpsc,
        },
        thread,
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        runtime::Runtime,
    },
};

const CONNECTIONS: u32 = 4_000;
/// Far longer than all connections take.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

async fn connect_during_changes() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let link = Link::start(listener.local_addr().unwrap()).await.unwrap();
    tokio::spawn(async move { while listener.accept().await.is_ok() {} });
    let changed_link = link.clone();
    let is_done = Arc::new(AtomicBool::new(false));
    let stop = Arc::clone(&is_done);
    let changer = thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            changed_link.heal();
        }
    });
    for _ in 0..CONNECTIONS {
        drop(TcpStream::connect(link.address).await.unwrap());
    }
    is_done.store(true, Ordering::Relaxed);
    changer.join().unwrap();
}

/// Guards against a deadlock of the link: it occurred when the link's state was changed
/// while a connection was being opened, between two borrows of the state.
#[test]
fn a_link_is_changed_while_connections_open() {
    let (done, ended) = mpsc::channel();
    thread::spawn(move || {
        Runtime::new().unwrap().block_on(connect_during_changes());
        done.send(()).unwrap();
    });
    ended.recv_timeout(TEST_TIMEOUT).expect("the link hangs");
}

/// Guards against a link that repeats no reply, or lets the next request pass before it has.
#[tokio::test]
async fn the_last_reply_arrives_again_before_the_next_request() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let link = Link::start(listener.local_addr().unwrap()).await.unwrap();
    link.repeat_replies(Duration::from_millis(50));
    let mut client = TcpStream::connect(link.address).await.unwrap();
    let (mut server, _) = listener.accept().await.unwrap();
    let mut part = [0; 2];
    client.write_all(b"q1").await.unwrap();
    server.read_exact(&mut part).await.unwrap();
    server.write_all(b"r1").await.unwrap();
    client.read_exact(&mut part).await.unwrap();
    assert_eq!(&part, b"r1");
    client.write_all(b"q2").await.unwrap();
    // The server has not written a second reply.
    client.read_exact(&mut part).await.unwrap();
    assert_eq!(&part, b"r1");
    server.read_exact(&mut part).await.unwrap();
    assert_eq!(&part, b"q2");
}
