//! The servers known, and those that were.

use {
    super::{ServerEntry, ServerState},
    crate::{
        id::{DomainName, ServerName},
        ranges::{OwnerState, Owners},
        time::Time,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// How long an entry that vanished still counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RegistryTimes {
    /// After the store's return: servers write themselves anew within about two
    /// seconds, and one that is missing after that is gone.
    pub rejoin: Duration,
    /// How long a server that left is remembered, so that its late answers and
    /// the keys it held can be told from those of a server never heard of.
    pub memory: Duration,
}

impl RegistryTimes {
    /// The defaults; see the fields.
    pub const STANDARD: Self = Self {
        rejoin: Duration::from_millis(2_200),
        memory: Duration::from_secs(60),
    };

    /// The defaults for servers that may get requests for `drain` after the news
    /// that they leave. The store may have been away for this instance only, and
    /// then a missing entry is a server that leaves: it must not get requests
    /// for longer because of the time that is given to servers to rejoin.
    ///
    /// ```
    /// use {citron_core::registry::RegistryTimes, std::time::Duration};
    /// let times = RegistryTimes::for_drain(Duration::from_secs(2));
    /// assert!(times.rejoin < Duration::from_secs(2));
    /// ```
    pub fn for_drain(drain: Duration) -> Self {
        let rejoin = Self::STANDARD
            .rejoin
            .min(drain.saturating_sub(REJOIN_MARGIN));
        Self {
            rejoin,
            ..Self::STANDARD
        }
    }
}

/// For requests that are on their way when a server's time is over.
const REJOIN_MARGIN: Duration = Duration::from_millis(400);
/// Time from the store's acknowledgement until this instance knew, and from a decision
/// until the request has arrived.
const DRAIN_MARGIN: Duration = Duration::from_millis(800);
/// The same for an evacuation: the news may come by way of an instance that is slow, and
/// its bound is longer.
const EVACUATION_MARGIN: Duration = Duration::from_millis(2_900);
/// How long after the end of an evacuation a server that has become cold may not have
/// told so: a heartbeat, and the way of the news.
const COLD_NEWS: Duration = Duration::from_millis(2_000);

/// A server, and since when it leaves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Known {
    /// What it last wrote.
    pub entry: ServerEntry,
    /// Since when it is known to leave, or to be listed no more.
    pub left: Option<Time>,
    /// When it was first heard of.
    pub seen: Time,
    /// Until when it counts as cold.
    pub cold: Time,
    /// Since when its failure domain is evacuated.
    pub evacuated: Option<Time>,
    /// What other entries say of its address.
    pub place: Place,
}

/// Whose a server's address is, as far as entries tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    /// No other start is known there.
    Own,
    /// An entry names another start there, without proof of which one lives.
    Disputed,
    /// A later start is there: this one has surely ended.
    Passed,
}

impl Known {
    /// Whether it may get new requests.
    pub fn is_open(&self) -> bool {
        self.is_listed() && self.evacuated.is_none()
    }

    /// Whether it is listed as ready, also in a domain that is evacuated.
    pub fn is_listed(&self) -> bool {
        self.left.is_none()
    }

    /// When the last requests for keys that it still holds may be sent to it; `None`
    /// as long as it is open.
    pub fn last_send(&self, bounds: &SendBounds) -> Option<Time> {
        let left = self.left.map(|left| left + bounds.drain);
        let evacuated = self.evacuated.map(|since| since + bounds.evacuation);
        left.into_iter().chain(evacuated).min()
    }

    /// Whether requests to its address may reach another start.
    pub fn is_displaced(&self) -> bool {
        self.place != Place::Own
    }

    fn displaced(&mut self, place: Place, now: Time) {
        if self.place != Place::Passed {
            self.place = place;
        }
        self.left.get_or_insert(now);
    }

    /// How much longer it counts as cold.
    pub fn warm_up(&self, now: Time) -> Duration {
        self.cold - now
    }
}

/// How long owners of keys may still get requests, while the keys move away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendBounds {
    /// After the news that a server leaves.
    pub drain: Duration,
    /// After the news that its failure domain is evacuated.
    pub evacuation: Duration,
}

impl SendBounds {
    /// What operators allow, less a margin for news and requests that are on their way.
    ///
    /// ```
    /// use {citron_core::registry::SendBounds, std::time::Duration};
    /// let bounds = SendBounds::within(Duration::from_secs(2), Duration::from_secs(5));
    /// assert!(bounds.drain < bounds.evacuation);
    /// ```
    pub fn within(drain: Duration, evacuation: Duration) -> Self {
        Self {
            drain: drain.saturating_sub(DRAIN_MARGIN),
            evacuation: evacuation.saturating_sub(EVACUATION_MARGIN),
        }
    }
}

/// All servers, by what the store lists.
///
/// An entry that vanishes while the store answers means that the server leaves
/// or is lost: both get no new requests. While the store was away entries lapse
/// though their servers serve, so that right after its return a missing one is
/// kept for the time in which servers write themselves anew.
#[derive(Debug)]
pub struct Registry {
    times: RegistryTimes,
    servers: BTreeMap<ServerName, Known>,
    /// Entries that were missing when the store came back.
    missing: BTreeMap<ServerName, Time>,
    /// Until when missing entries are kept.
    rejoin: Time,
    /// Failure domains that are evacuated, and since when.
    evacuated: BTreeMap<DomainName, Time>,
    /// Until when all servers of failure domains that were evacuated count as cold.
    restored: BTreeMap<DomainName, Time>,
}

impl Registry {
    /// No server known.
    pub fn new(times: RegistryTimes) -> Self {
        Self {
            times,
            servers: BTreeMap::new(),
            missing: BTreeMap::new(),
            rejoin: Time::ZERO,
            evacuated: BTreeMap::new(),
            restored: BTreeMap::new(),
        }
    }

    /// Nothing more may be sent to the servers of a failure domain.
    pub fn evacuate(&mut self, domain: DomainName, now: Time) {
        let since = *self.evacuated.entry(domain.clone()).or_insert(now);
        for known in self.in_domain(&domain) {
            known.evacuated = Some(since);
        }
    }

    /// An evacuation is over. Servers without requests may have become cold, and tell
    /// so with their next heartbeat only: all of them count as cold for `warm_up` and
    /// the time of that news.
    pub fn restore(&mut self, domain: &DomainName, warm_up: Duration, now: Time) {
        if self.evacuated.remove(domain).is_none() {
            return;
        }
        let cold = now + warm_up + COLD_NEWS;
        self.restored.insert(domain.clone(), cold);
        for known in self.in_domain(domain) {
            known.evacuated = None;
            known.cold = known.cold.max(cold);
        }
    }

    /// Failure domains that are evacuated, and since when.
    pub fn evacuated(&self) -> &BTreeMap<DomainName, Time> {
        &self.evacuated
    }

    fn in_domain<'a>(&'a mut self, domain: &'a DomainName) -> impl Iterator<Item = &'a mut Known> {
        let servers = self.servers.values_mut();
        servers.filter(move |known| known.entry.domain == *domain)
    }

    /// The store answers again after a failure.
    pub fn store_back(&mut self, now: Time) {
        self.rejoin = now + self.times.rejoin;
    }

    /// A server wrote its entry. One that is older than a start known under its
    /// id comes late, or from somewhere else, and changes nothing.
    pub fn listed(&mut self, entry: ServerEntry, now: Time) {
        let name = entry.name.clone();
        let newer = |known: &Known| starts_after(&known.entry, &entry) == Some(true);
        if self.with_id(name.id()).any(newer) {
            return;
        }
        self.missing.remove(&name);
        let place = self.displace(&entry, now);
        let known = self.servers.get(&name);
        let left = known.and_then(|known| known.left);
        let left = match (entry.state, place) {
            (ServerState::Ready, Place::Own) => None,
            _ => Some(left.unwrap_or(now)),
        };
        let seen = known.map_or(now, |known| known.seen);
        let told = now + entry.warm_up;
        let restored = self.restored.get(&entry.domain).copied();
        let known = Known {
            left,
            seen,
            cold: told.max(restored.unwrap_or_default()),
            evacuated: self.evacuated.get(&entry.domain).copied(),
            place,
            entry,
        };
        self.servers.insert(name, known);
    }

    /// Marks the starts that an entry takes the place of, and tells whether
    /// another one has taken its own.
    ///
    /// A server that crashes and starts again within the span of its heartbeats
    /// is listed twice for a while, and a heartbeat of the former start may be
    /// written after the first one of the new start. Taken for proof of which one
    /// lives, it would free the keys of the living one while it runs requests on
    /// them. Only the moments of the starts prove it; without them the one heard
    /// of first is not used any more, and what it holds waits as for any server
    /// that does not answer.
    fn displace(&mut self, entry: &ServerEntry, now: Time) -> Place {
        let seen = self.servers.get(&entry.name).map_or(now, |own| own.seen);
        let mut place = Place::Own;
        for other in self.servers.values_mut() {
            let same = other.entry.name == entry.name;
            let rival =
                other.entry.address == entry.address || other.entry.name.id() == entry.name.id();
            if same || !rival {
                continue;
            }
            match starts_after(entry, &other.entry) {
                Some(true) => other.displaced(Place::Passed, now),
                Some(false) => place = Place::Passed,
                None if other.seen <= seen => other.displaced(Place::Disputed, now),
                None if place == Place::Own && other.is_listed() => place = Place::Disputed,
                None => {}
            }
        }
        place
    }

    fn with_id<'a>(&'a self, id: &'a str) -> impl Iterator<Item = &'a Known> {
        let own = move |known: &&Known| known.entry.name.id() == id;
        self.servers.values().filter(own)
    }

    /// The entry under a server's id vanished; how much longer it counts all the same.
    pub fn removed(&mut self, id: &str, now: Time) -> Duration {
        let missing = now < self.rejoin;
        for name in self.listed_starts(id) {
            match self.servers.get_mut(&name) {
                Some(_) if missing => {
                    self.missing.insert(name, self.rejoin);
                }
                Some(known) => known.left = Some(now),
                None => {}
            }
        }
        self.rejoin - now
    }

    /// The entry under a server's id cannot be read. It names no server to use,
    /// but the server that wrote it before need not have ended: another writer
    /// may have overwritten the entry, and the server's next heartbeat mends it.
    /// Until then it counts as one that rejoins; taken for gone at once, it would
    /// lose its keys and each request on them its place.
    pub fn unreadable(&mut self, id: &str, now: Time) {
        for name in self.listed_starts(id) {
            self.missing.entry(name).or_insert(now + self.times.rejoin);
        }
    }

    fn listed_starts(&self, id: &str) -> Vec<ServerName> {
        let listed = self.with_id(id).filter(|known| known.is_listed());
        listed.map(|known| known.entry.name.clone()).collect()
    }

    /// The whole list was read: what is not in it has vanished.
    pub fn replaced(&mut self, entries: Vec<ServerEntry>, now: Time) {
        let listed = entries.iter().map(|entry| entry.name.id().to_string());
        let listed: BTreeSet<String> = listed.collect();
        for entry in entries {
            self.listed(entry, now);
        }
        let ready = self.servers.values().filter(|known| known.is_listed());
        let ids = ready.map(|known| known.entry.name.id().to_string());
        let vanished: Vec<String> = ids.filter(|id| !listed.contains(id)).collect();
        for id in vanished {
            self.removed(&id, now);
        }
    }

    /// Gives up missing entries whose time is over; whether anything changed.
    pub fn tick(&mut self, now: Time) -> bool {
        let due = |until: &Time| *until <= now;
        let gone: Vec<ServerName> = self
            .missing
            .iter()
            .filter(|(_, until)| due(until))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &gone {
            self.missing.remove(name);
            if let Some(known) = self.servers.get_mut(name) {
                known.left.get_or_insert(now);
            }
        }
        let memory = self.times.memory;
        let before = self.servers.len();
        self.servers
            .retain(|_, known| known.left.is_none_or(|left| now - left < memory));
        self.restored.retain(|_, cold| *cold > now);
        !gone.is_empty() || self.servers.len() != before
    }

    /// One server.
    pub fn get(&self, name: &ServerName) -> Option<&Known> {
        self.servers.get(name)
    }

    /// All servers, also those that left a short while ago.
    pub fn iter(&self) -> impl Iterator<Item = &Known> {
        self.servers.values()
    }
}

/// Whether one of two starts that cannot both live, as they have an id or an
/// address in common, is the later one; `None` if their entries do not tell.
fn starts_after(one: &ServerEntry, other: &ServerEntry) -> Option<bool> {
    let (one, other) = (&one.name, &other.name);
    match (one.born(), other.born()) {
        (Some(a), Some(b)) if a != b => Some(a > b),
        (Some(_), None) if one.id() == other.id() => Some(true),
        (None, Some(_)) if one.id() == other.id() => Some(false),
        _ => None,
    }
}

impl Owners for Registry {
    fn state(&self, server: &ServerName) -> OwnerState {
        match self.servers.get(server) {
            None => OwnerState::Leaving,
            Some(known) if known.place == Place::Passed => OwnerState::Ended,
            Some(known) if known.is_open() => OwnerState::Serving,
            Some(_) => OwnerState::Leaving,
        }
    }
}
