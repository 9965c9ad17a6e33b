//! Whether a server that broke off has crashed.

use {
    super::{attempt::OutgoingRequest, thread::TrafficState},
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
const PROBE_DELAY: Duration = Duration::from_millis(20);
/// How long it may take to answer. No answer is no proof of a crash.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Counts a crash against requests like the one that was lost, if the server's
/// machine says that nobody listens there any more. A reset alone says nothing:
/// connections are reset on the way, too, and requests that were merely lost
/// must not be refused for it.
pub fn detect_crash(
    state: &TrafficState,
    server: &ServerEntry,
    fingerprint: Fingerprint,
    request: &OutgoingRequest<'_>,
) {
    let shared = Arc::clone(&state.shared);
    let clock = state.clock;
    let name = server.name.clone();
    let address = server.address;
    let label = format!("{} {}", request.head.method, request.head.uri);
    spawn_local(async move {
        sleep(PROBE_DELAY).await;
        let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
        if let Ok(Err(error)) = connected
            && error.kind() == ErrorKind::ConnectionRefused
        {
            shared
                .crashes()
                .record_crash(fingerprint, &label, &name, clock.now());
        }
    });
}
