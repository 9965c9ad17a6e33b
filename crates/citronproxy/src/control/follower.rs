//! Follows the table: by reading the platform, or by relay from other instances.

use {
    super::{ControlMetrics, Node},
    crate::events,
    citron_ports::TableStore,
    futures::future::join_all,
    std::{net::SocketAddr, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Pause between two reads of the platform.
const READ_INTERVAL: Duration = Duration::from_millis(400);
/// Pause after a failed read. It is kept even when a refresh is requested.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Pause between two checks whether a relay is needed.
const RELAY_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Age of the read that the routing lease is based on from which the lease is renewed by
/// relay.
const MAX_READ_AGE: Duration = Duration::from_millis(700);
/// Number of instances asked at a time. Several are asked because each of their answers
/// may be as old as this instance's own.
const RELAY_FANOUT: usize = 3;

/// Reads the platform periodically and on request. Runs until its task is aborted.
pub async fn follow<S: TableStore + 'static>(node: Node<S>) {
    let mut is_reachable = true;
    loop {
        let read = node.refresh().await;
        ControlMetrics::count_result(&node.metrics().reads, read.is_ok());
        match (&read, is_reachable) {
            (Ok(()), false) => log::info!("{}", events::PLATFORM_BACK),
            (Err(error), true) => log::warn!("{} {error}", events::PLATFORM_LOST),
            _ => {}
        }
        is_reachable = read.is_ok();
        if !is_reachable {
            sleep(RETRY_DELAY).await;
        }
        let _ = timeout(READ_INTERVAL, node.refresh_requested()).await;
    }
}

/// Asks other instances for the table and a lease while the platform does not renew the
/// routing lease. Runs until its task is aborted.
pub async fn relay<S: TableStore + 'static>(node: Node<S>) {
    let mut next_peer = 0;
    let mut is_relaying = false;
    loop {
        sleep(RELAY_CHECK_INTERVAL).await;
        let age = node.now()
            - node
                .with_replica(|replica| replica.routing_lease())
                .read_started;
        if age < MAX_READ_AGE {
            log_change(is_relaying, false);
            is_relaying = false;
            continue;
        }
        let peer_addresses = peer_addresses(&node);
        let fanout = peer_addresses.len().min(RELAY_FANOUT);
        let queries =
            (0..fanout).map(|number| peer_addresses[(next_peer + number) % peer_addresses.len()]);
        let answers = join_all(queries.map(|peer| node.relay_from(peer))).await;
        next_peer += fanout;
        let confirmed = answers.iter().filter(|a| matches!(a, Ok(true))).count();
        node.metrics().relays.inc_by(confirmed as u64);
        log_change(is_relaying, confirmed > 0);
        is_relaying = confirmed > 0;
    }
}

fn log_change(before: bool, now: bool) {
    match (before, now) {
        (false, true) => log::warn!("{}", events::RELAY_BEGUN),
        (true, false) => log::info!("{}", events::RELAY_ENDED),
        _ => {}
    }
}

/// Peer addresses of all other listed instances, followed by the seeds of the settings.
fn peer_addresses<S: TableStore + 'static>(node: &Node<S>) -> Vec<SocketAddr> {
    let mut peer_addresses: Vec<SocketAddr> = node
        .other_instances()
        .iter()
        .map(|row| row.peer_address)
        .collect();
    for seed in &node.config().seeds {
        if !peer_addresses.contains(seed) {
            peer_addresses.push(*seed);
        }
    }
    peer_addresses
}
