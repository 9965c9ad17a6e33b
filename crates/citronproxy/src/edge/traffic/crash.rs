//! Detects whether a server that closed a connection has crashed.

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

/// Delay of the probe after the connection failed. A process that exits closes its
/// connections one after the other, and its listening socket among them.
const PROBE_DELAY: Duration = Duration::from_millis(20);
/// Time limit of the probe. A probe without an answer does not prove a crash.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Probes a server that lost a request and records a crash for the fingerprint of that
/// request if the connection is refused, which shows that no process listens at the
/// address any more.
///
/// A reset alone proves nothing: connections are also reset by the network, and requests
/// that were lost that way must not be refused as the cause of a crash.
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
