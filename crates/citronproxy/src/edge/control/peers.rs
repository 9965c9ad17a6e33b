//! Other instances, as their signs of life tell.

use {
    super::beat::Beat,
    citron_core::{
        id::{DomainName, InstanceId},
        time::Time,
    },
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// After so long without a sign of life an instance counts as lost: a dozen
/// beats, so that a slowed instance or a lossy link is no reason.
pub const LOST: Duration = Duration::from_millis(1_500);
/// After so long it is left alone but for a beat now and then.
const SILENT: Duration = Duration::from_secs(10);

/// Another instance.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its failure domain, if known.
    pub domain: Option<DomainName>,
    /// When it was last heard.
    pub heard: Option<Time>,
    /// The last it said.
    pub beat: Option<Beat>,
    added: Time,
}

/// All others.
#[derive(Debug, Default)]
pub struct Peers {
    peers: BTreeMap<InstanceId, Peer>,
}

impl Peers {
    /// Learns of an instance from the store.
    pub fn add(
        &mut self,
        name: InstanceId,
        address: SocketAddr,
        domain: Option<DomainName>,
        now: Time,
    ) {
        let peer = self.peers.entry(name).or_insert(Peer {
            address,
            domain: None,
            heard: None,
            beat: None,
            added: now,
        });
        peer.address = address;
        peer.domain = domain.or(peer.domain.take());
    }

    /// Takes in a sign of life; whether the sender was lost, unknown or another
    /// start before.
    pub fn heard(&mut self, name: &InstanceId, from: SocketAddr, beat: Beat, now: Time) -> bool {
        let domain = beat.domain.parse().ok();
        self.add(name.clone(), from, domain, now);
        let Some(peer) = self.peers.get_mut(name) else {
            return false;
        };
        let former = peer.beat.as_ref().map(|beat| beat.start);
        let new = former != Some(beat.start) || !is_live(peer, now);
        peer.heard = Some(now);
        peer.beat = Some(beat);
        new
    }

    /// One instance.
    pub fn get(&self, name: &InstanceId) -> Option<&Peer> {
        self.peers.get(name)
    }

    /// Those that were heard of lately.
    pub fn live(&self, now: Time) -> impl Iterator<Item = (&InstanceId, &Peer)> {
        self.peers
            .iter()
            .filter(move |(_, peer)| is_live(peer, now))
    }

    /// Those to send a beat to: in the own failure domain each time, in others
    /// every third time, and those that are silent every twentieth.
    pub fn due(&self, domain: &DomainName, round: u64, now: Time) -> Vec<SocketAddr> {
        let due = |peer: &&Peer| {
            let known = peer.heard.unwrap_or(peer.added);
            let near = peer.domain.as_ref() == Some(domain);
            match (now - known > SILENT, near) {
                (true, _) => round.is_multiple_of(20),
                (false, true) => true,
                (false, false) => round.is_multiple_of(3),
            }
        };
        let peers = self.peers.values().filter(due);
        peers.map(|peer| peer.address).collect()
    }

    /// How many instances there are, this one included, by those that are live
    /// and those that were not heard yet.
    pub fn count(&self, now: Time) -> usize {
        let counted = |peer: &&Peer| now - peer.heard.unwrap_or(peer.added) < SILENT;
        1 + self.peers.values().filter(counted).count()
    }
}

fn is_live(peer: &Peer, now: Time) -> bool {
    peer.heard.is_some_and(|heard| now - heard < LOST)
}
