//! Other instances, as known from their heartbeats and the table of members.

use {
    crate::edge::view::DetourPeer,
    citron_core::{
        freshness::{HeartbeatSchedule, HolderReport, PropagationTimes, Sender},
        id::{DomainName, Incarnation, InstanceId, StoreVersion},
        slowstart::GroupMembers,
        time::Time,
    },
    citron_wire::heartbeat::{Heartbeat, ReachWire},
    rand::seq::IteratorRandom,
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// Silence after which a peer is sent a heartbeat only occasionally.
const SILENT_AFTER: Duration = Duration::from_secs(10);

/// Largest number of peers for detours, in this failure domain and in the others.
const DETOUR_PEERS_MAX: usize = 8;

/// Largest number of witnesses of a planner: the row that names it stays small.
const WITNESSES_MAX: usize = 15;

/// Number of peers from which on heartbeats form a partial mesh by failure domain.
const PARTIAL_MESH_MIN: usize = 16;

/// Another instance.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Address of the peer, for datagrams and for fetching tables.
    pub address: SocketAddr,
    /// Failure domain of the peer, if known.
    pub domain: Option<DomainName>,
    /// Address on which it takes requests of other instances, if known.
    pub detour: Option<SocketAddr>,
    /// When its last heartbeat was received.
    pub last_heard: Option<Time>,
    /// When its last heartbeat was sent, or earlier.
    pub last_sent: Option<Time>,
    /// Last heartbeat received from it.
    pub heartbeat: Option<Heartbeat>,
    added_at: Time,
}

impl Peer {
    /// Whether the peer has told that it reaches no backend server.
    pub fn is_cut_off(&self) -> bool {
        let heartbeat = self.heartbeat.as_ref();
        heartbeat.is_some_and(|heartbeat| heartbeat.reach == ReachWire::CutOff)
    }

    fn holder_report(&self) -> Option<HolderReport> {
        let heartbeat = self.heartbeat.as_ref()?;
        Some(HolderReport {
            incarnation: Incarnation(heartbeat.start),
            is_planning: heartbeat.planning,
            claim: StoreVersion(heartbeat.leadership),
        })
    }
}

/// All other instances.
#[derive(Debug)]
pub struct Peers {
    /// Failure domain of this instance.
    domain: DomainName,
    peers: BTreeMap<InstanceId, Peer>,
    /// Number of peers in the failure domain of this instance.
    same_domain_count: usize,
    /// Incremented when a peer is added or its failure domain changes.
    membership_edits: u64,
}

impl Peers {
    /// Creates an empty set for an instance of a failure domain.
    pub fn new(domain: DomainName) -> Self {
        Self {
            domain,
            peers: BTreeMap::new(),
            same_domain_count: 0,
            membership_edits: 0,
        }
    }

    /// Adds a peer, or updates its address and failure domain.
    pub fn add(
        &mut self,
        name: InstanceId,
        address: SocketAddr,
        domain: Option<DomainName>,
        now: Time,
    ) {
        let edits = &mut self.membership_edits;
        let peer = self.peers.entry(name).or_insert_with(|| {
            *edits += 1;
            Peer {
                address,
                domain: None,
                detour: None,
                last_heard: None,
                last_sent: None,
                heartbeat: None,
                added_at: now,
            }
        });
        peer.address = address;
        if domain.is_some() && domain != peer.domain {
            self.same_domain_count -= usize::from(peer.domain.as_ref() == Some(&self.domain));
            self.same_domain_count += usize::from(domain.as_ref() == Some(&self.domain));
            self.membership_edits += 1;
            peer.domain = domain;
        }
    }

    /// Sets the address on which a peer takes requests of other instances.
    pub fn set_detour(&mut self, name: &InstanceId, address: Option<SocketAddr>) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.detour = address.or(peer.detour);
        }
    }

    /// Some peers, at random, through which requests may be sent. In a partial mesh, few of
    /// the other failure domains are heard; those that are not may be there all the same.
    pub fn detours(&self, now: Time) -> Vec<DetourPeer> {
        let may_serve = |peer: &Peer| {
            let heartbeat = peer.heartbeat.as_ref();
            !peer.is_cut_off() && !heartbeat.is_some_and(|heartbeat| heartbeat.leaving)
        };
        let active = self.peers.iter();
        let active = active.filter(|(_, peer)| self.is_active(peer, now) && may_serve(peer));
        let detours = active.filter_map(|(name, peer)| {
            Some(DetourPeer {
                instance: name.clone(),
                address: peer.detour?,
                is_near: peer.domain.as_ref() == Some(&self.domain),
            })
        });
        let (near, far): (Vec<_>, Vec<_>) = detours.partition(|peer| peer.is_near);
        let mut rng = rand::rng();
        let mut chosen = near.into_iter().choose_multiple(&mut rng, DETOUR_PEERS_MAX);
        chosen.extend(far.into_iter().choose_multiple(&mut rng, DETOUR_PEERS_MAX));
        chosen
    }

    /// Counter that changes when a peer is added or its failure domain changes.
    pub fn membership_edits(&self) -> u64 {
        self.membership_edits
    }

    /// Records a heartbeat that was sent at `sent` or later. Returns whether its sender was
    /// unknown, lost or restarted before.
    pub fn apply_heartbeat(
        &mut self,
        name: &InstanceId,
        from: SocketAddr,
        heartbeat: Heartbeat,
        sent: Time,
        now: Time,
    ) -> bool {
        let domain = heartbeat.domain.parse().ok();
        self.add(name.clone(), from, domain, now);
        let known_peer = self.peers.get(name);
        let was_live = known_peer.is_some_and(|peer| self.loss_timeouts().is_live(peer, now));
        let Some(peer) = self.peers.get_mut(name) else {
            return false;
        };
        let last_start = peer.heartbeat.as_ref().map(|heartbeat| heartbeat.start);
        let is_new = last_start != Some(heartbeat.start) || !was_live;
        peer.last_heard = Some(now);
        peer.last_sent = Some(sent);
        peer.detour = heartbeat.detour.or(peer.detour);
        peer.heartbeat = Some(heartbeat);
        is_new
    }

    /// The peer of that name, if it is known.
    pub fn get(&self, name: &InstanceId) -> Option<&Peer> {
        self.peers.get(name)
    }

    /// Peers from which a heartbeat was received recently.
    pub fn live(&self, now: Time) -> impl Iterator<Item = (&InstanceId, &Peer)> {
        let timeouts = self.loss_timeouts();
        self.peers
            .iter()
            .filter(move |(_, peer)| timeouts.is_live(peer, now))
    }

    /// Peers that are not known to be lost or leaving. In a partial mesh, few heartbeats of
    /// other failure domains are heard: their instances count as present, and one that told
    /// that it leaves does so again after a while, as its restart may not be heard.
    pub fn present(&self, now: Time) -> impl Iterator<Item = (&InstanceId, &Peer)> {
        let timeouts = self.loss_timeouts();
        let is_present = move |peer: &Peer| {
            let (Some(heartbeat), Some(last_heard)) = (&peer.heartbeat, peer.last_heard) else {
                return self.is_active(peer, now);
            };
            let is_far = peer.domain.as_ref() != Some(&self.domain);
            if is_far && !self.is_full_mesh() {
                return !heartbeat.leaving || now - last_heard > SILENT_AFTER;
            }
            !heartbeat.leaving && timeouts.is_live(peer, now)
        };
        self.peers.iter().filter(move |(_, peer)| is_present(peer))
    }

    /// Silence after which a peer counts as lost, by failure domain.
    fn loss_timeouts(&self) -> LossTimeouts<'_> {
        let schedule = self.schedule();
        LossTimeouts {
            domain: (!self.is_full_mesh()).then_some(&self.domain),
            same_domain: schedule.timeout(Sender::SameDomain),
            other_domain: schedule.timeout(Sender::OtherDomain),
        }
    }

    /// What the last heartbeat of a peer tells about the leadership.
    pub fn holder_report(&self, name: &InstanceId) -> Option<HolderReport> {
        self.peers.get(name).and_then(Peer::holder_report)
    }

    /// When a process last sent a heartbeat that confirms a planner: it knows of its claim and of
    /// no later one.
    pub fn last_confirmation(
        &self,
        name: &InstanceId,
        process: Incarnation,
        claim: StoreVersion,
    ) -> Option<Time> {
        let peer = self.peers.get(name)?;
        let report = peer.holder_report()?;
        let confirms = report.incarnation == process && report.claim == claim;
        peer.last_sent.filter(|_| confirms && !report.is_planning)
    }

    /// Some live instances, at random, that can confirm a planner.
    pub fn pick_witnesses(&self, now: Time) -> Vec<(InstanceId, Incarnation)> {
        let live = self.live(now);
        let processes = live.filter_map(|(name, peer)| {
            let heartbeat = peer.heartbeat.as_ref()?;
            (!heartbeat.leaving).then(|| (name.clone(), Incarnation(heartbeat.start)))
        });
        processes.choose_multiple(&mut rand::rng(), WITNESSES_MAX)
    }

    /// Intervals of the heartbeats that this instance receives.
    pub fn schedule(&self) -> HeartbeatSchedule {
        let reporting_count = match self.is_full_mesh() {
            true => self.peers.len(),
            false => self.same_domain_count,
        };
        HeartbeatSchedule::for_instances(1 + reporting_count)
    }

    /// Whether no other instance is known.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Whether all peers were heard recently, know of a claim of the leadership and do not
    /// plan. What they told before that claim proves nothing.
    pub fn all_follow(&self, claim: StoreVersion, now: Time) -> bool {
        let timeouts = self.loss_timeouts();
        let follows = |peer: &Peer| {
            let report = peer.holder_report();
            timeouts.is_live(peer, now) && report.is_some_and(|report| report.follows(claim))
        };
        self.peers.values().all(follows)
    }

    /// Recipients of the current round of heartbeats.
    ///
    /// With few instances (full mesh), each sends to all others, and to those of other
    /// failure domains every third round. With many (partial mesh), an instance sends to
    /// its own failure domain, to the planner, and without loads to the first instance of
    /// each other failure domain; only the planner sends to all. This keeps the traffic
    /// of an instance from growing with the number of all instances.
    pub fn recipients(&self, round: &HeartbeatRound<'_>, now: Time) -> Vec<Recipient> {
        let is_partial_mesh = self.peers.len() >= PARTIAL_MESH_MIN;
        let first_of_domains = self.first_of_other_domains(round.domain, now);
        let to_recipient = |(name, peer): (&InstanceId, &Peer)| {
            let is_near = peer.domain.as_ref() == Some(round.domain);
            let is_planner = round.planner == Some(name);
            let last_heard = peer.last_heard.unwrap_or(peer.added_at);
            let is_silent = now - last_heard > SILENT_AFTER && (is_near || !is_partial_mesh);
            let every_rounds = match is_silent {
                true => 20,
                false if is_near || round.is_planner => 1,
                false => u64::from(PropagationTimes::STANDARD.cross_domain_factor),
            };
            let is_recipient = !is_partial_mesh
                || is_near
                || is_planner
                || round.is_planner
                || first_of_domains.contains(&name);
            (is_recipient && round.number.is_multiple_of(every_rounds)).then_some(Recipient {
                address: peer.address,
                with_loads: !is_partial_mesh || is_near || is_planner,
            })
        };
        self.peers.iter().filter_map(to_recipient).collect()
    }

    /// The first instance, by name, of each other failure domain, leaving out those that
    /// have been silent for long.
    fn first_of_other_domains(&self, domain: &DomainName, now: Time) -> Vec<&InstanceId> {
        let mut first_by_domain: BTreeMap<&DomainName, &InstanceId> = BTreeMap::new();
        for (name, peer) in &self.peers {
            let is_lost = peer
                .last_heard
                .is_some_and(|last_heard| now - last_heard > SILENT_AFTER);
            if let Some(peer_domain) = peer
                .domain
                .as_ref()
                .filter(|peer_domain| *peer_domain != domain && !is_lost)
            {
                first_by_domain.entry(peer_domain).or_insert(name);
            }
        }
        first_by_domain.into_values().collect()
    }

    /// Live peers that the store answers and that are preferred over this instance for a
    /// task: those with a larger share of a processor and, at equal shares, those whose
    /// names come first.
    pub fn preferred_with_store(
        &self,
        instance: &InstanceId,
        cpu_percent: u32,
        now: Time,
    ) -> impl Iterator<Item = (&InstanceId, &Peer)> {
        let reaches_store = |peer: &Peer| {
            peer.heartbeat
                .as_ref()
                .is_some_and(|heartbeat| heartbeat.store)
        };
        let preferred = self.preferred_over(instance, cpu_percent, now);
        preferred.filter(move |(_, peer)| reaches_store(peer))
    }

    /// Whether a live peer could plan in place of an instance that reaches no server.
    pub fn any_reaches_servers(&self, now: Time) -> bool {
        let may_plan = |heartbeat: &Heartbeat| {
            heartbeat.store && !heartbeat.leaving && heartbeat.reach == ReachWire::Reached
        };
        let mut heartbeats = self
            .live(now)
            .filter_map(|(_, peer)| peer.heartbeat.as_ref());
        heartbeats.any(may_plan)
    }

    /// Live peers preferred over this instance, whether or not the store answers them.
    pub fn preferred_over(
        &self,
        instance: &InstanceId,
        cpu_percent: u32,
        now: Time,
    ) -> impl Iterator<Item = (&InstanceId, &Peer)> {
        self.live(now).filter(move |(name, peer)| {
            peer.heartbeat.as_ref().is_some_and(|heartbeat| {
                let is_preferred = heartbeat.cpu > cpu_percent
                    || (heartbeat.cpu == cpu_percent && *name < instance);
                is_preferred && !heartbeat.leaving
            })
        })
    }

    /// All peers ever known, including lost ones, except those whose failure domain is
    /// unknown.
    pub fn members(&self) -> GroupMembers {
        let peers = self.peers.iter();
        let known_peers =
            peers.filter_map(|(name, peer)| Some((name.clone(), peer.domain.clone()?)));
        known_peers.collect()
    }

    /// Addresses of all peers that have not been silent for long.
    pub fn active_addresses(&self, now: Time) -> Vec<SocketAddr> {
        let peers = self.peers.values();
        let active = peers.filter(|peer| self.is_active(peer, now));
        active.map(|peer| peer.address).collect()
    }

    /// Whether no live peer of the same failure domain that `counts` comes before this
    /// instance by name. In a partial mesh, the instances of other failure domains send
    /// heartbeats to the first of all live ones.
    pub fn is_first_in_domain(
        &self,
        instance: &InstanceId,
        now: Time,
        counts: impl Fn(&Peer) -> bool,
    ) -> bool {
        let is_near = |peer: &Peer| peer.domain.as_ref() == Some(&self.domain);
        !self
            .live(now)
            .any(|(name, peer)| name < instance && is_near(peer) && counts(peer))
    }

    /// Whether other instances of the same failure domain are known.
    pub fn has_same_domain_peers(&self) -> bool {
        self.same_domain_count > 0
    }

    /// Whether heartbeats of all instances reach this one.
    pub fn is_full_mesh(&self) -> bool {
        self.peers.len() < PARTIAL_MESH_MIN
    }

    /// Number of instances, including this one. Counts peers that were added, or sent a
    /// heartbeat, recently and, in a partial mesh, all peers of other failure domains.
    pub fn instance_count(&self, now: Time) -> usize {
        let peers = self.peers.values();
        1 + peers.filter(|peer| self.is_active(peer, now)).count()
    }

    fn is_active(&self, peer: &Peer, now: Time) -> bool {
        let is_far = peer.domain.as_ref() != Some(&self.domain);
        let heard_lately = now - peer.last_heard.unwrap_or(peer.added_at) < SILENT_AFTER;
        heard_lately || (is_far && !self.is_full_mesh())
    }

    /// Number of instances that report their loads to this one, including itself.
    pub fn reporting_count(&self, domain: &DomainName, now: Time) -> usize {
        let reports_here =
            |peer: &Peer| peer.domain.as_ref() == Some(domain) || self.is_full_mesh();
        1 + self
            .live(now)
            .filter(|(_, peer)| reports_here(peer))
            .count()
    }
}

/// One round of heartbeats.
#[derive(Debug)]
pub struct HeartbeatRound<'a> {
    /// Number of the round. Recipients with a longer interval are included in multiples
    /// of it only.
    pub number: u64,
    /// Failure domain of the sender.
    pub domain: &'a DomainName,
    /// The current planner, if known.
    pub planner: Option<&'a InstanceId>,
    /// Whether the sender is the planner.
    pub is_planner: bool,
}

/// Recipient of a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Recipient {
    /// Address of the recipient.
    pub address: SocketAddr,
    /// Whether the heartbeat includes the sender's loads.
    pub with_loads: bool,
}

/// Silence after which a peer counts as lost.
struct LossTimeouts<'a> {
    /// Failure domain of this instance in a partial mesh; `None` in a full mesh.
    domain: Option<&'a DomainName>,
    /// For peers of the same failure domain, and in a full mesh for all.
    same_domain: Duration,
    /// For peers of other failure domains, which send less often.
    other_domain: Duration,
}

impl LossTimeouts<'_> {
    fn is_live(&self, peer: &Peer, now: Time) -> bool {
        let is_near = self.domain.is_none() || peer.domain.as_ref() == self.domain;
        let timeout = if is_near {
            self.same_domain
        } else {
            self.other_domain
        };
        peer.last_heard
            .is_some_and(|last_heard| now - last_heard < timeout)
    }
}
