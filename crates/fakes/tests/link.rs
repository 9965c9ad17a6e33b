//! Concurrency test of the fake network link.

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
