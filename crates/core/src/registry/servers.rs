//! The servers known, and those that were.

use {
    super::{ServerEntry, ServerState},
    crate::{
        id::ServerName,
        ranges::{OwnerState, Owners},
        time::Time,
    },
    std::{collections::BTreeMap, time::Duration},
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
    /// Whether its address now belongs to another start.
    pub ended: bool,
}

impl Known {
    /// Whether it may get new requests.
    pub fn is_open(&self) -> bool {
        self.left.is_none()
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

    /// A server wrote its entry.
    pub fn listed(&mut self, entry: ServerEntry, now: Time) {
        self.missing.remove(&entry.name);
        for (name, other) in &mut self.servers {
            if other.entry.address == entry.address && *name != entry.name {
                other.ended = true;
                other.left.get_or_insert(now);
            }
        }
        let known = self.servers.get(&entry.name);
        let left = match entry.state {
            ServerState::Ready => None,
            ServerState::Leaving => Some(known.and_then(|known| known.left).unwrap_or(now)),
        };
        let seen = known.map_or(now, |known| known.seen);
        let name = entry.name.clone();
        self.servers.insert(
            name,
            Known {
                entry,
                left,
                seen,
                ended: false,
            },
        );
    }

    /// An entry vanished.
    pub fn removed(&mut self, name: &ServerName, now: Time) {
        if now < self.rejoin {
            self.missing.insert(name.clone(), self.rejoin);
            return;
        }
        if let Some(known) = self.servers.get_mut(name) {
            known.left.get_or_insert(now);
        }
    }

    /// The whole list was read: what is not in it has vanished.
    pub fn replaced(&mut self, entries: Vec<ServerEntry>, now: Time) {
        let listed: Vec<ServerName> = entries.iter().map(|entry| entry.name.clone()).collect();
        for entry in entries {
            self.listed(entry, now);
        }
        let open = self.servers.iter().filter(|(_, known)| known.is_open());
        let vanished: Vec<ServerName> = open
            .map(|(name, _)| name.clone())
            .filter(|name| !listed.contains(name))
            .collect();
        for name in vanished {
            self.removed(&name, now);
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

impl Owners for Registry {
    fn state(&self, server: &ServerName) -> OwnerState {
        match self.servers.get(server) {
            None => OwnerState::Leaving,
            Some(known) if known.ended => OwnerState::Ended,
            Some(known) if known.is_open() => OwnerState::Serving,
            Some(_) => OwnerState::Leaving,
        }
    }
}
