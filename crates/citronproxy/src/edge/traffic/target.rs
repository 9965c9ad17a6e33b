//! Where a request goes next.

use {
    super::{exchange::reuse, front::Front},
    crate::edge::view::View,
    citron_core::{
        dispatch::{Ask, Candidate, Choice, Lack, choose, compared},
        id::{Epoch, ServerName, ServiceName},
        ranges::{RangeKey, Whereabouts},
        registry::Known,
        routes::Repeat,
        time::Time,
    },
    rand::Rng,
    std::{fmt, time::Duration},
};

/// When a caller comes back whose request was over the limit of its service:
/// about the time in which one of those under way ends.
const PACED_AGAIN: Duration = Duration::from_millis(250);
/// Retry-After where all servers are cold and have what they take, at most.
const COLD_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Where to.
#[derive(Debug)]
pub enum Target {
    /// To this server.
    Server(Known),
    /// Nowhere now: the caller may come back after this time; and why.
    Full(Duration, Full),
    /// The key is changing hands.
    Moving,
    /// No server can have the key soon, or there is none at all.
    None,
}

/// Why there is no room.
#[derive(Debug, Clone, Copy)]
pub enum Full {
    /// At the servers.
    Servers(Lack),
    /// Within this instance's limit of requests at the service.
    Limit,
    /// At cold servers, which crash under more.
    Cold,
}

impl fmt::Display for Full {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Servers(lack) => lack.fmt(f),
            Self::Limit => f.write_str("over the limit that late answers set"),
            Self::Cold => f.write_str("cold servers take no more now"),
        }
    }
}

/// A request's wishes.
#[derive(Debug)]
pub struct Wish<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The key, if the service's servers hold keys.
    pub key: Option<RangeKey>,
    /// When its answer loses worth.
    pub objective: Time,
    /// When its caller waits no longer.
    pub deadline: Time,
    /// How often it may run.
    pub repeat: Repeat,
    /// Servers that have had it.
    pub tried: &'a [ServerName],
    /// The owner that did not have the key.
    pub stale: Option<&'a Stale>,
}

/// An owner that did not have the key: it has given it up, or was not granted it
/// yet.
#[derive(Debug)]
pub struct Stale {
    /// The owner.
    pub owner: ServerName,
    /// The epoch under which it should have had the key.
    pub epoch: Epoch,
    /// When it may be asked again under that epoch.
    pub until: Time,
}

/// Finds the server for a request.
pub fn find(front: &Front, view: &View, wish: &Wish<'_>) -> Target {
    match wish.key {
        Some(key) => find_owner(front, view, wish, key),
        None => find_any(front, view, wish),
    }
}

fn find_owner(front: &Front, view: &View, wish: &Wish<'_>, key: RangeKey) -> Target {
    let Some(map) = view.maps.get(wish.service) else {
        return Target::None;
    };
    let slice = map.slice(key);
    let now = front.clock.now();
    let news = front.board.moved(wish.service, key, slice, now);
    let owner = match &news {
        Some(Whereabouts::Released) => return Target::Moving,
        Some(Whereabouts::Owned(owner)) => Some(owner),
        None => slice.owner.as_ref(),
    };
    let Some(owner) = owner else {
        return Target::None;
    };
    let is_stale =
        |stale: &Stale| stale.owner == *owner && stale.epoch >= slice.epoch && now < stale.until;
    if wish.stale.is_some_and(is_stale) {
        return Target::Moving;
    }
    let Some(known) = view.server(wish.service, owner) else {
        return Target::None;
    };
    if known.is_displaced() {
        return Target::Moving;
    }
    let last = known.last_send(&front.bounds);
    if last.is_some_and(|last| now > last) {
        return Target::None;
    }
    if !admits(front, view, known, wish) {
        return full_of_cold(known.warm_up(now));
    }
    pick(front, view, wish, [known].into_iter())
}

fn find_any(front: &Front, view: &View, wish: &Wish<'_>) -> Target {
    let servers = view.servers(wish.service).iter();
    let open: Vec<&Known> = servers.filter(|known| known.is_open()).collect();
    if open.is_empty() {
        return Target::None;
    }
    if !front.paces.admits(wish.service) {
        return Target::Full(PACED_AGAIN, Full::Limit);
    }
    let admitted: Vec<&Known> = open
        .iter()
        .copied()
        .filter(|known| admits(front, view, known, wish))
        .collect();
    if admitted.is_empty() {
        let now = front.clock.now();
        let left = open.iter().map(|known| known.warm_up(now)).min();
        return full_of_cold(left.unwrap_or_default());
    }
    let open = admitted;
    let fresh = |known: &&Known| !wish.tried.contains(&known.entry.name);
    let untried: Vec<&Known> = open.iter().copied().filter(fresh).collect();
    match untried.is_empty() {
        true => pick(front, view, wish, open.into_iter()),
        false => pick(front, view, wish, untried.into_iter()),
    }
}

/// Whether a server may get a request, if it is cold.
fn admits(front: &Front, view: &View, known: &Known, wish: &Wish<'_>) -> bool {
    let now = front.clock.now();
    if known.warm_up(now).is_zero() {
        return true;
    }
    let service = view.config.service(wish.service);
    let Some(slow) = service.and_then(|service| service.slow_start) else {
        return true;
    };
    let Some(group) = &view.group else {
        return false;
    };
    let most = front.settings.cold.most(&slow);
    let entry = &known.entry;
    let mut gate = front.cold.borrow_mut();
    let share = gate.share(group, &entry.name, || match wish.key {
        Some(_) => group.owner_share(&entry.name, most),
        None => group.pool_share(&entry.name, &entry.domain, most),
    });
    gate.admits(&entry.name, share, now)
}

fn full_of_cold(left: Duration) -> Target {
    Target::Full(left.min(COLD_RETRY_AFTER), Full::Cold)
}

fn pick<'a>(
    front: &Front,
    view: &View,
    wish: &Wish<'_>,
    servers: impl Iterator<Item = &'a Known> + Clone,
) -> Target {
    let now = front.clock.now();
    let ask = Ask {
        objective: wish.objective - now,
        deadline: wish.deadline - now,
        compared: compared(view.reports),
    };
    // Owners of keys, and servers of other failure domains, get requests from
    // instances that do not report here.
    let unheard = view.instances as f64 / view.reporting.max(1) as f64;
    let reuse = reuse(front, wish.service, wish.repeat);
    let candidates = servers.clone().map(|server| {
        let near = server.entry.domain == front.settings.domain;
        let scale = match near && wish.key.is_none() {
            true => 1.0,
            false => unheard.max(1.0),
        };
        Candidate {
            server,
            near,
            kept: front.pool.has_idle(&server.entry.address, reuse),
            scale,
        }
    });
    let loads = front.board.loads();
    let mut rng = rand::rng();
    match choose(&loads, candidates, ask, now, || rng.random()) {
        Choice::Full { again, lack } => Target::Full(again, Full::Servers(lack)),
        Choice::Send(name) => {
            let mut servers = servers;
            let chosen = servers.find(|known| known.entry.name == name);
            let Some(known) = chosen else {
                return Target::None;
            };
            if !known.warm_up(now).is_zero() {
                front.cold.borrow_mut().note(&known.entry.name, now);
            }
            Target::Server(known.clone())
        }
    }
}
