//! Other instances, as their heartbeats tell.

use {
    citron_core::{
        freshness::{HeartbeatSchedule, PropagationTimes, Sender},
        id::{DomainName, InstanceId},
        slowstart::Members,
        time::Time,
    },
    citron_wire::heartbeat::Heartbeat,
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// After so long it is left alone but for a heartbeat now and then.
const SILENT: Duration = Duration::from_secs(10);

/// From so many others on heartbeats go by failure domain.
const MANY: usize = 16;

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
    pub heartbeat: Option<Heartbeat>,
    added: Time,
}

/// All others.
#[derive(Debug)]
pub struct Peers {
    /// The failure domain of this instance.
    domain: DomainName,
    peers: BTreeMap<InstanceId, Peer>,
    /// How many of them are in the same failure domain.
    near: usize,
    /// How often an instance was added or has changed its failure domain.
    edits: u64,
}

impl Peers {
    /// None is known yet to an instance of a failure domain.
    pub fn new(domain: DomainName) -> Self {
        Self {
            domain,
            peers: BTreeMap::new(),
            near: 0,
            edits: 0,
        }
    }

    /// Learns of an instance from the store.
    pub fn add(
        &mut self,
        name: InstanceId,
        address: SocketAddr,
        domain: Option<DomainName>,
        now: Time,
    ) {
        let edits = &mut self.edits;
        let peer = self.peers.entry(name).or_insert_with(|| {
            *edits += 1;
            Peer {
                address,
                domain: None,
                heard: None,
                heartbeat: None,
                added: now,
            }
        });
        peer.address = address;
        if domain.is_some() && domain != peer.domain {
            self.near -= usize::from(peer.domain.as_ref() == Some(&self.domain));
            self.near += usize::from(domain.as_ref() == Some(&self.domain));
            self.edits += 1;
            peer.domain = domain;
        }
    }

    /// Changes with each instance that is added or has changed its failure domain.
    pub fn edits(&self) -> u64 {
        self.edits
    }

    /// Takes in a heartbeat; whether the sender was lost, unknown or another
    /// start before.
    pub fn heard(
        &mut self,
        name: &InstanceId,
        from: SocketAddr,
        heartbeat: Heartbeat,
        now: Time,
    ) -> bool {
        let domain = heartbeat.domain.parse().ok();
        self.add(name.clone(), from, domain, now);
        let known = self.peers.get(name);
        let live = known.is_some_and(|peer| self.spans().is_live(peer, now));
        let Some(peer) = self.peers.get_mut(name) else {
            return false;
        };
        let former = peer.heartbeat.as_ref().map(|heartbeat| heartbeat.start);
        let new = former != Some(heartbeat.start) || !live;
        peer.heard = Some(now);
        peer.heartbeat = Some(heartbeat);
        new
    }

    /// One instance.
    pub fn get(&self, name: &InstanceId) -> Option<&Peer> {
        self.peers.get(name)
    }

    /// Those that were heard of lately.
    pub fn live(&self, now: Time) -> impl Iterator<Item = (&InstanceId, &Peer)> {
        let spans = self.spans();
        self.peers
            .iter()
            .filter(move |(_, peer)| spans.is_live(peer, now))
    }

    /// After which silence others count as lost.
    fn spans(&self) -> Spans<'_> {
        let heard = match self.hears_all() {
            true => self.peers.len(),
            false => self.near,
        };
        let beats = HeartbeatSchedule::for_instances(1 + heard);
        Spans {
            domain: (!self.hears_all()).then_some(&self.domain),
            near: beats.timeout(Sender::SameDomain),
            far: beats.timeout(Sender::OtherDomain),
        }
    }

    /// Where heartbeats go now. With few instances everyone hears everyone, those in
    /// other failure domains every third time. With many, a failure domain's
    /// instances hear each other, the planner hears all, and one instance of each
    /// other domain hears without loads: what an instance sends and takes in must
    /// not grow with the number of all.
    pub fn due(&self, round: &Round<'_>, now: Time) -> Vec<Recipient> {
        let many = self.peers.len() >= MANY;
        let leads = self.leads(round.domain, now);
        let due = |(name, peer): (&InstanceId, &Peer)| {
            let near = peer.domain.as_ref() == Some(round.domain);
            let planner = round.planner == Some(name);
            let known = peer.heard.unwrap_or(peer.added);
            let silent = now - known > SILENT && (near || !many);
            let often = match silent {
                true => 20,
                false if near || round.planning => 1,
                false => u64::from(PropagationTimes::STANDARD.cross_domain_factor),
            };
            let listens = !many || near || planner || round.planning || leads.contains(&name);
            (listens && round.number.is_multiple_of(often)).then_some(Recipient {
                address: peer.address,
                loads: !many || near || planner,
            })
        };
        self.peers.iter().filter_map(due).collect()
    }

    /// The first instance of each other failure domain.
    fn leads(&self, domain: &DomainName, now: Time) -> Vec<&InstanceId> {
        let mut leads: BTreeMap<&DomainName, &InstanceId> = BTreeMap::new();
        for (name, peer) in &self.peers {
            let gone = peer.heard.is_some_and(|heard| now - heard > SILENT);
            if let Some(of) = peer.domain.as_ref().filter(|of| *of != domain && !gone) {
                leads.entry(of).or_insert(name);
            }
        }
        leads.into_values().collect()
    }

    /// Live instances that the store answers and that should do a task before
    /// this one: those with more of a processor, and the first by name.
    pub fn before(
        &self,
        me: &InstanceId,
        cpu: u32,
        now: Time,
    ) -> impl Iterator<Item = (&InstanceId, &Peer)> {
        let answered = |peer: &Peer| peer.heartbeat.as_ref().is_some_and(|told| told.store);
        let ahead = self.ahead(me, cpu, now);
        ahead.filter(move |(_, peer)| answered(peer))
    }

    /// The same, whether the store answers them or not.
    pub fn ahead(
        &self,
        me: &InstanceId,
        cpu: u32,
        now: Time,
    ) -> impl Iterator<Item = (&InstanceId, &Peer)> {
        self.live(now).filter(move |(name, peer)| {
            peer.heartbeat.as_ref().is_some_and(|heartbeat| {
                let first = heartbeat.cpu > cpu || (heartbeat.cpu == cpu && *name < me);
                first && !heartbeat.leaving
            })
        })
    }

    /// All instances that were ever heard of, whether they are there or not, but for
    /// those whose failure domain is not known.
    pub fn members(&self) -> Members {
        let peers = self.peers.iter();
        let known = peers.filter_map(|(name, peer)| Some((name.clone(), peer.domain.clone()?)));
        known.collect()
    }

    /// Where all others are reached that were not silent for long.
    pub fn addresses(&self, now: Time) -> Vec<SocketAddr> {
        let peers = self.peers.values();
        let counted = peers.filter(|peer| self.is_counted(peer, now));
        counted.map(|peer| peer.address).collect()
    }

    /// Whether others of this instance's failure domain are known.
    pub fn has_near(&self) -> bool {
        self.near > 0
    }

    /// Whether heartbeats of all instances reach this one.
    pub fn hears_all(&self) -> bool {
        self.peers.len() < MANY
    }

    /// How many instances there are, this one included: those that are live or
    /// were not heard yet, and with many those of other failure domains.
    pub fn count(&self, now: Time) -> usize {
        let peers = self.peers.values();
        1 + peers.filter(|peer| self.is_counted(peer, now)).count()
    }

    fn is_counted(&self, peer: &Peer, now: Time) -> bool {
        let far = peer.domain.as_ref() != Some(&self.domain);
        let lately = now - peer.heard.unwrap_or(peer.added) < SILENT;
        lately || (far && !self.hears_all())
    }

    /// How many instances report their loads to this one, itself included.
    pub fn reporting(&self, domain: &DomainName, now: Time) -> usize {
        let near = |peer: &Peer| peer.domain.as_ref() == Some(domain) || self.hears_all();
        1 + self.live(now).filter(|(_, peer)| near(peer)).count()
    }
}

/// One round of heartbeats.
#[derive(Debug)]
pub struct Round<'a> {
    /// Its number.
    pub number: u64,
    /// The sender's failure domain.
    pub domain: &'a DomainName,
    /// The instance that plans.
    pub planner: Option<&'a InstanceId>,
    /// Whether that is the sender.
    pub planning: bool,
}

/// Where a heartbeat goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Recipient {
    /// The address.
    pub address: SocketAddr,
    /// Whether it is told of loads.
    pub loads: bool,
}

/// After which silence others count as lost.
struct Spans<'a> {
    /// This instance's failure domain, if heartbeats go by them.
    domain: Option<&'a DomainName>,
    /// In the same failure domain.
    near: Duration,
    /// In others, whose heartbeats are rarer.
    far: Duration,
}

impl Spans<'_> {
    fn is_live(&self, peer: &Peer, now: Time) -> bool {
        let near = self.domain.is_none() || peer.domain.as_ref() == self.domain;
        let span = if near { self.near } else { self.far };
        peer.heard.is_some_and(|heard| now - heard < span)
    }
}
