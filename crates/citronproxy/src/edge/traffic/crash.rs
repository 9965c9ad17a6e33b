//! Whether a server that broke off has crashed.

use {
    super::{attempt::Message, thread::Front},
    citron_core::{crash::Fingerprint, registry::ServerEntry},
    std::{io::ErrorKind, sync::Arc, time::Duration},
    tokio::{
        net::TcpStream,
        task::spawn_local,
        time::{sleep, timeout},
    },
};

/// How long after the break the server is asked: a process that dies closes its
/// connections one after the other, and its listener among them.
const AFTER: Duration = Duration::from_millis(20);
/// How long it may take to answer. No answer is no proof of a crash.
const ANSWER: Duration = Duration::from_millis(300);

/// Counts a crash against requests like the one that was lost, if the server's
/// machine says that nobody listens there any more. A reset alone says nothing:
/// connections are reset on the way, too, and requests that were merely lost
/// must not be refused for it.
pub fn record_crash(
    front: &Front,
    server: &ServerEntry,
    print: Fingerprint,
    message: &Message<'_>,
) {
    let board = Arc::clone(&front.board);
    let clock = front.clock;
    let name = server.name.clone();
    let address = server.address;
    let label = format!("{} {}", message.head.method, message.head.uri);
    spawn_local(async move {
        sleep(AFTER).await;
        let connected = timeout(ANSWER, TcpStream::connect(address)).await;
        if let Ok(Err(error)) = connected
            && error.kind() == ErrorKind::ConnectionRefused
        {
            board
                .crashes()
                .record_crash(print, &label, &name, clock.now());
        }
    });
}
