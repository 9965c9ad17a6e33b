//! The servers known, and those that were.

use {
    super::{Known, Place, RegistryTimes, ServerEntry, ServerState, index::AddressIndex},
    crate::{
        id::{DomainName, ServerName, ServiceName},
        ranges::{OwnerState, Owners},
        time::Time,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
};

/// How long after the end of an evacuation a server that has become cold may not have
/// told so: a heartbeat, and the way of the news.
const COLD_NEWS: Duration = Duration::from_millis(2_000);

/// The servers of a service in the order of names, shared with those who read them.
pub type ServerList = Arc<Vec<Arc<Known>>>;

/// All servers, by what the store lists.
///
/// An entry that vanishes while the store answers means that the server leaves
/// or is lost: both get no new requests. While the store was away entries lapse
/// though their servers serve, so that right after its return a missing one is
/// kept for the time in which servers write themselves anew.
#[derive(Debug)]
pub struct Registry {
    times: RegistryTimes,
    servers: BTreeMap<ServerName, Arc<Known>>,
    addresses: AddressIndex,
    /// Servers of each service, in the order of names; made anew when one changes.
    lists: BTreeMap<ServiceName, ServerList>,
    /// When the first server that left is to be forgotten, at the earliest.
    forget_at: Option<Time>,
    /// Services whose list is out of date.
    changed: BTreeSet<ServiceName>,
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
            addresses: AddressIndex::default(),
            lists: BTreeMap::new(),
            forget_at: None,
            changed: BTreeSet::new(),
            missing: BTreeMap::new(),
            rejoin: Time::ZERO,
            evacuated: BTreeMap::new(),
            restored: BTreeMap::new(),
        }
    }

    /// Nothing more may be sent to the servers of a failure domain.
    pub fn evacuate(&mut self, domain: DomainName, now: Time) {
        let since = *self.evacuated.entry(domain.clone()).or_insert(now);
        self.update_domain(&domain, |known| known.evacuated = Some(since));
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
        self.update_domain(domain, |known| {
            known.evacuated = None;
            known.cold = known.cold.max(cold);
        });
    }

    /// Failure domains that are evacuated, and since when.
    pub fn evacuated(&self) -> &BTreeMap<DomainName, Time> {
        &self.evacuated
    }

    fn update_domain(&mut self, domain: &DomainName, change: impl Fn(&mut Known)) {
        let servers = self.servers.values();
        let within = servers.filter(|known| known.entry.domain == *domain);
        let names: Vec<ServerName> = within.map(|known| known.entry.name.clone()).collect();
        for name in names {
            self.update(&name, &change);
        }
    }

    /// Changes what is known of a server.
    fn update(&mut self, name: &ServerName, change: impl FnOnce(&mut Known)) {
        let Some(known) = self.servers.get_mut(name) else {
            return;
        };
        change(Arc::make_mut(known));
        let (service, left) = (known.entry.service.clone(), known.left);
        self.note_change(service, left);
    }

    fn insert(&mut self, known: Known) {
        let (name, address) = (known.entry.name.clone(), known.entry.address);
        let (service, left) = (known.entry.service.clone(), known.left);
        let former = self.servers.insert(name.clone(), Arc::new(known));
        if let Some(former) = former {
            if former.entry.address != address {
                self.addresses.remove(&former.entry.address, &name);
            }
            self.changed.insert(former.entry.service.clone());
        }
        self.addresses.insert(address, &name);
        self.note_change(service, left);
    }

    /// A server of a service has changed, and left at a moment if it has.
    fn note_change(&mut self, service: ServiceName, left: Option<Time>) {
        self.changed.insert(service);
        let forget_at = left.map(|left| left + self.times.memory);
        self.forget_at = [self.forget_at, forget_at].into_iter().flatten().min();
    }

    /// The servers of each service.
    pub fn lists(&mut self) -> &BTreeMap<ServiceName, ServerList> {
        for service in std::mem::take(&mut self.changed) {
            let servers = self.servers.values();
            let listed = servers.filter(|known| known.entry.service == service);
            let listed: Vec<Arc<Known>> = listed.cloned().collect();
            if listed.is_empty() {
                self.lists.remove(&service);
            } else {
                self.lists.insert(service, Arc::new(listed));
            }
        }
        &self.lists
    }

    /// The servers that were listed at an address.
    pub fn at(&self, address: &SocketAddr) -> impl Iterator<Item = &Known> {
        let names = self.addresses.at(address).iter();
        names.filter_map(|name| self.get(name))
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
        let evacuated = self.evacuated.get(&entry.domain).copied();
        self.insert(Known {
            left,
            seen,
            cold: told.max(restored.unwrap_or_default()),
            evacuated,
            place,
            entry,
        });
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
        for name in self.rivals(entry) {
            let Some(other) = self.servers.get(&name) else {
                continue;
            };
            match starts_after(entry, &other.entry) {
                Some(true) => self.update(&name, |other| other.displaced(Place::Passed, now)),
                Some(false) => place = Place::Passed,
                None if other.seen <= seen => {
                    self.update(&name, |other| other.displaced(Place::Disputed, now));
                }
                None if place == Place::Own && other.is_listed() => place = Place::Disputed,
                None => {}
            }
        }
        place
    }

    /// Other starts with the id or the address of an entry.
    fn rivals(&self, entry: &ServerEntry) -> BTreeSet<ServerName> {
        let same_id = self.with_id(entry.name.id());
        let same_id = same_id.map(|known| &known.entry.name);
        let same_address = self.addresses.at(&entry.address).iter();
        let rivals = same_id.chain(same_address);
        rivals
            .filter(|name| **name != entry.name)
            .cloned()
            .collect()
    }

    fn with_id<'a>(&'a self, id: &'a str) -> impl Iterator<Item = &'a Known> {
        let first = id.parse::<ServerName>().ok();
        let starts = first.map(|first| self.servers.range(first..));
        let starts = starts.into_iter().flatten().map(|(_, known)| &**known);
        starts.take_while(move |known| known.entry.name.id() == id)
    }

    /// The entry under a server's id vanished; how much longer it counts all the same.
    pub fn removed(&mut self, id: &str, now: Time) -> Duration {
        let missing = now < self.rejoin;
        for name in self.listed_starts(id) {
            if missing {
                self.missing.insert(name, self.rejoin);
            } else {
                self.update(&name, |known| known.left = Some(now));
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
            self.update(name, |known| {
                known.left.get_or_insert(now);
            });
        }
        self.restored.retain(|_, cold| *cold > now);
        let forgotten = self.forget(now);
        !gone.is_empty() || forgotten
    }

    /// Forgets servers that left long ago; whether there were any.
    fn forget(&mut self, now: Time) -> bool {
        if self.forget_at.is_none_or(|first| now < first) {
            return false;
        }
        let memory = self.times.memory;
        let ends = |known: &Arc<Known>| known.left.map(|left| left + memory);
        let is_over = |known: &&Arc<Known>| ends(known).is_some_and(|end| end <= now);
        let over: Vec<Arc<Known>> = self.servers.values().filter(is_over).cloned().collect();
        for known in &over {
            let entry = &known.entry;
            self.servers.remove(&entry.name);
            self.addresses.remove(&entry.address, &entry.name);
            self.changed.insert(entry.service.clone());
        }
        self.forget_at = self.servers.values().filter_map(ends).min();
        !over.is_empty()
    }

    /// One server.
    pub fn get(&self, name: &ServerName) -> Option<&Known> {
        self.servers.get(name).map(|known| &**known)
    }

    /// All servers, also those that left a short while ago.
    pub fn iter(&self) -> impl Iterator<Item = &Known> {
        self.servers.values().map(|known| &**known)
    }
}

/// Whether one of two starts that cannot both live, as they have an id or an
/// address in common, is the later one; `None` if their entries do not tell.
fn starts_after(one: &ServerEntry, other: &ServerEntry) -> Option<bool> {
    let (one, other) = (&one.name, &other.name);
    match (one.start_time(), other.start_time()) {
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
