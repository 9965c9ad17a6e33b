//! Follows the table: from the platform, or by relay from other instances.

use {
    super::{ControlMetrics, Node},
    crate::events,
    citron_ports::TableStore,
    futures::future::join_all,
    std::{net::SocketAddr, time::Duration},
    tokio::time::{sleep, timeout},
};

/// The pause between two reads.
const READ_PAUSE: Duration = Duration::from_millis(400);
/// The pause after a failed read, even if a newer revision is waited for.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// The pause between two looks at whether a relay is needed.
const RELAY_PAUSE: Duration = Duration::from_millis(200);
/// A confirmation that rests on an older read is renewed by relay.
const RELAY_AGE: Duration = Duration::from_millis(700);
/// How many instances are asked at a time; each of their answers may be as old
/// as our own.
const RELAY_FAN: usize = 3;

/// Reads the platform again and again; ends only with its task.
pub async fn follow<S: TableStore + 'static>(node: Node<S>) {
    let mut reachable = true;
    loop {
        let read = node.refresh().await;
        ControlMetrics::count(&node.metrics().reads, read.is_ok());
        match (&read, reachable) {
            (Ok(()), false) => log::info!("{}", events::PLATFORM_BACK),
            (Err(error), true) => log::warn!("{} {error}", events::PLATFORM_LOST),
            _ => {}
        }
        reachable = read.is_ok();
        if !reachable {
            sleep(RETRY_PAUSE).await;
        }
        let _ = timeout(READ_PAUSE, node.woken()).await;
    }
}

/// Asks other instances while the platform does not confirm; ends only with its
/// task.
pub async fn relay<S: TableStore + 'static>(node: Node<S>) {
    let mut turn = 0;
    let mut relayed = false;
    loop {
        sleep(RELAY_PAUSE).await;
        let age = node.now() - node.look(|replica| replica.confirmation()).read_started;
        if age < RELAY_AGE {
            note(relayed, false);
            relayed = false;
            continue;
        }
        let peers = peers(&node);
        let fan = peers.len().min(RELAY_FAN);
        let asked = (0..fan).map(|number| peers[(turn + number) % peers.len()]);
        let answers = join_all(asked.map(|peer| node.relay_from(peer))).await;
        turn += fan;
        let confirmed = answers.iter().filter(|a| matches!(a, Ok(true))).count();
        node.metrics().relays.inc_by(confirmed as u64);
        note(relayed, confirmed > 0);
        relayed = confirmed > 0;
    }
}

fn note(before: bool, now: bool) {
    match (before, now) {
        (false, true) => log::warn!("{}", events::RELAY_BEGUN),
        (true, false) => log::info!("{}", events::RELAY_ENDED),
        _ => {}
    }
}

/// All other instances: those that the table lists, or else the settings' seeds.
fn peers<S: TableStore + 'static>(node: &Node<S>) -> Vec<SocketAddr> {
    let mut peers: Vec<SocketAddr> = node.others().iter().map(|row| row.peer_address).collect();
    for seed in &node.config().seeds {
        if !peers.contains(seed) {
            peers.push(*seed);
        }
    }
    peers
}
