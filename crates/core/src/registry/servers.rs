//! The servers known, and those that were.

use {
    super::{ServerEntry, ServerState},
    crate::{
        id::ServerName,
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
            .min(drain.saturating_sub(DRAIN_MARGIN));
        Self {
            rejoin,
            ..Self::STANDARD
        }
    }
}

/// For requests that are on their way when a server's time is over.
const DRAIN_MARGIN: Duration = Duration::from_millis(400);

/// A server, and since when it leaves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Known {
    /// What it last wrote.
    pub entry: ServerEntry,
    /// Since when it is known to leave, or to be listed no more.
    pub left: Option<Time>,
    /// When it was first heard of.
    pub seen: Time,
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
        self.left.is_none()
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

    /// How much longer it is slow after its start.
    pub fn warm_up(&self, now: Time) -> Duration {
        self.entry.warm_up.saturating_sub(now - self.seen)
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
}

impl Registry {
    /// No server known.
    pub fn new(times: RegistryTimes) -> Self {
        Self {
            times,
            servers: BTreeMap::new(),
            missing: BTreeMap::new(),
            rejoin: Time::ZERO,
        }
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
        let known = Known {
            entry,
            left,
            seen,
            place,
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
                None if place == Place::Own && other.is_open() => place = Place::Disputed,
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
        for name in self.open_starts(id) {
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
        for name in self.open_starts(id) {
            self.missing.entry(name).or_insert(now + self.times.rejoin);
        }
    }

    fn open_starts(&self, id: &str) -> Vec<ServerName> {
        let open = self.with_id(id).filter(|known| known.is_open());
        open.map(|known| known.entry.name.clone()).collect()
    }

    /// The whole list was read: what is not in it has vanished.
    pub fn replaced(&mut self, entries: Vec<ServerEntry>, now: Time) {
        let listed = entries.iter().map(|entry| entry.name.id().to_string());
        let listed: BTreeSet<String> = listed.collect();
        for entry in entries {
            self.listed(entry, now);
        }
        let open = self.servers.values().filter(|known| known.is_open());
        let ids = open.map(|known| known.entry.name.id().to_string());
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
