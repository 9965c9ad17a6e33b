//! Detects whether a server that closed a connection has crashed.

use {
    crate::{clock::Clock, edge::shared::SharedState},
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

/// Interval of the checks whether other servers respond.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(50);

/// Waits until it is known whether a connection that was just refused proves a crash.
async fn is_confirmed(shared: &SharedState, clock: Clock) -> bool {
    let refused_at = clock.now();
    loop {
        let is_confirmed = shared.reach().confirms_crash(refused_at, clock.now());
        match is_confirmed {
            Some(is_confirmed) => return is_confirmed,
            None => sleep(CONFIRM_INTERVAL).await,
        }
    }
}

/// Probes a server that lost a request and records a crash for the fingerprint of that
/// request if the connection is refused, which shows that no process listens at the
/// address any more, and other servers respond: the links of this instance may refuse all
/// connections.
///
/// A reset alone proves nothing: connections are also reset by the network, and requests
/// that were lost that way must not be refused as the cause of a crash. `label` describes the
/// request to operators.
pub fn detect_crash(
    shared: Arc<SharedState>,
    clock: Clock,
    server: &ServerEntry,
    fingerprint: Fingerprint,
    label: String,
) {
    let name = server.name.clone();
    let address = server.address;
    spawn_local(async move {
        sleep(PROBE_DELAY).await;
        let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
        let is_refused = matches!(
            connected,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused
        );
        if is_refused && is_confirmed(&shared, clock).await {
            shared
                .crashes()
                .record_crash(fingerprint, &label, &name, clock.now());
        }
    });
}
