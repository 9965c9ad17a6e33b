//! Where a request goes next.

use {
    super::{attempt::reuse, thread::Front},
    crate::edge::view::View,
    citron_core::{
        dispatch::{Candidate, Decision, RejectReason, TimeLimits, sample_size, select_server},
        id::{Epoch, ServerName, ServiceName},
        ranges::{OwnerHint, RangeKey},
        registry::ServerRecord,
        routes::Idempotency,
        time::Time,
    },
    rand::{Rng, seq::index},
    std::{fmt, sync::Arc, time::Duration},
};

/// Retry-After for a request over the limit of its service: about the time in which one
/// of those under way ends.
const PACED_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Retry-After where all servers are cold and have what they take, at most.
const COLD_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Servers of a service up to which each is weighed for a request.
const SAMPLE_MAX: usize = 128;

/// Where a request goes.
#[derive(Debug)]
pub enum Target {
    /// To this server.
    Server(Arc<ServerRecord>),
    /// To none now, with Retry-After.
    Reject(Duration, Overload),
    /// The key is changing hands.
    Moving,
    /// No server can have the key soon, or there is none at all.
    None,
}

/// Why a request is rejected.
#[derive(Debug, Clone, Copy)]
pub enum Overload {
    /// The servers have no room.
    Servers(RejectReason),
    /// This instance's limit of requests at the service is reached.
    Limit,
    /// Its share of the requests to cold servers is used up.
    Cold,
}

impl fmt::Display for Overload {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Servers(reason) => reason.fmt(f),
            Self::Limit => f.write_str("over the limit that late answers set"),
            Self::Cold => f.write_str("cold servers take no more now"),
        }
    }
}

/// What a server is selected by.
#[derive(Debug)]
pub struct TargetQuery<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The key, if the service's servers hold keys.
    pub key: Option<RangeKey>,
    /// When its answer loses worth.
    pub objective: Time,
    /// When its caller waits no longer.
    pub deadline: Time,
    /// How often it may run.
    pub repeat: Idempotency,
    /// Servers that have had it.
    pub tried: &'a [ServerName],
    /// The owner that did not have the key.
    pub stale: Option<&'a StaleOwner>,
}

/// An owner that rejected a key: it has released it, or was not granted it yet.
#[derive(Debug)]
pub struct StaleOwner {
    /// The owner.
    pub owner: ServerName,
    /// The epoch under which it should have had the key.
    pub epoch: Epoch,
    /// When it may be asked again under that epoch.
    pub until: Time,
}

/// Selects the server for a request.
pub fn select_target(front: &Front, view: &View, query: &TargetQuery<'_>) -> Target {
    match query.key {
        Some(key) => find_owner(front, view, query, key),
        None => find_any(front, view, query),
    }
}

fn find_owner(front: &Front, view: &View, query: &TargetQuery<'_>, key: RangeKey) -> Target {
    let map = view.maps.get(query.service);
    let Some(slice) = map.and_then(|map| map.slice(key)) else {
        return Target::None;
    };
    let now = front.clock.now();
    let news = front.board.owner_hint(query.service, key, slice, now);
    let owner = match &news {
        Some(OwnerHint::Released) => return Target::Moving,
        Some(OwnerHint::Owned(owner)) => Some(owner),
        None => slice.owner.as_ref(),
    };
    let Some(owner) = owner else {
        return Target::None;
    };
    let is_stale = |stale: &StaleOwner| {
        stale.owner == *owner && stale.epoch >= slice.epoch && now < stale.until
    };
    if query.stale.is_some_and(is_stale) {
        return Target::Moving;
    }
    let Some(known) = view.server(query.service, owner) else {
        return Target::None;
    };
    if known.has_address_conflict() {
        return Target::Moving;
    }
    let last = known.send_deadline(&front.bounds);
    if last.is_some_and(|last| now > last) {
        return Target::None;
    }
    if !admits(front, view, known, query, now) {
        return reject_cold(known.remaining_warm_up(now));
    }
    pick(front, view, query, [known].into_iter())
}

fn find_any(front: &Front, view: &View, query: &TargetQuery<'_>) -> Target {
    let servers = view.servers(query.service).iter();
    let open: Vec<&Arc<ServerRecord>> = servers.filter(|known| known.is_available()).collect();
    if open.is_empty() {
        return Target::None;
    }
    if !front.paces.admits(query.service) {
        return Target::Reject(PACED_RETRY_AFTER, Overload::Limit);
    }
    let now = front.clock.now();
    let admitted: Vec<&Arc<ServerRecord>> = open
        .iter()
        .copied()
        .filter(|known| admits(front, view, known, query, now))
        .collect();
    if admitted.is_empty() {
        let left = open.iter().map(|known| known.remaining_warm_up(now)).min();
        return reject_cold(left.unwrap_or_default());
    }
    let open = admitted;
    let fresh = |known: &&Arc<ServerRecord>| !query.tried.contains(&known.entry.name);
    let untried: Vec<&Arc<ServerRecord>> = open.iter().copied().filter(fresh).collect();
    let candidates = if untried.is_empty() { open } else { untried };
    let candidates = sample_servers(front, query, candidates);
    pick(front, view, query, candidates.into_iter())
}

/// The servers that are weighed, some of many: of the same failure domain and of others, and
/// those to which a connection is kept.
fn sample_servers<'a>(
    front: &Front,
    query: &TargetQuery<'_>,
    servers: Vec<&'a Arc<ServerRecord>>,
) -> Vec<&'a Arc<ServerRecord>> {
    if servers.len() <= SAMPLE_MAX {
        return servers;
    }
    let own = &front.settings.domain;
    let (near, far): (Vec<_>, Vec<_>) = servers
        .into_iter()
        .partition(|known| known.entry.domain == *own);
    let reuse = reuse(front, query.service, query.repeat);
    let has_idle = |known: &&&Arc<ServerRecord>| front.pool.has_idle(&known.entry.address, reuse);
    let kept = near.iter().filter(has_idle).take(SAMPLE_MAX / 4);
    let mut sample: Vec<&Arc<ServerRecord>> = kept.copied().collect();
    let mut rng = rand::rng();
    for group in [near, far] {
        let drawn = index::sample(&mut rng, group.len(), group.len().min(SAMPLE_MAX / 2));
        sample.extend(drawn.into_iter().map(|at| group[at]));
    }
    sample
}

/// Whether a server may get a request, if it is cold.
fn admits(
    front: &Front,
    view: &View,
    known: &ServerRecord,
    query: &TargetQuery<'_>,
    now: Time,
) -> bool {
    if known.remaining_warm_up(now).is_zero() {
        return true;
    }
    let service = view.config.service(query.service);
    let Some(slow) = service.and_then(|service| service.slow_start) else {
        return true;
    };
    let Some(group) = &view.slow_start_group else {
        return false;
    };
    let most = front.settings.cold_bound.max_requests(&slow);
    let entry = &known.entry;
    let mut gate = front.cold.borrow_mut();
    let share = gate.share(group, &entry.name, || match query.key {
        Some(_) => group.owner_share(&entry.name, most),
        None => group.pool_share(&entry.name, &entry.domain, most),
    });
    gate.admits(&entry.name, share, now)
}

fn reject_cold(left: Duration) -> Target {
    Target::Reject(left.min(COLD_RETRY_AFTER), Overload::Cold)
}

fn pick<'a>(
    front: &Front,
    view: &View,
    query: &TargetQuery<'_>,
    servers: impl Iterator<Item = &'a Arc<ServerRecord>> + Clone,
) -> Target {
    let now = front.clock.now();
    let limits = TimeLimits {
        objective: query.objective - now,
        deadline: query.deadline - now,
        sample_size: sample_size(view.report_interval),
    };
    // Owners of keys, and servers of other failure domains, get requests from
    // instances that do not report here.
    let unheard = view.instance_count as f64 / view.reporting_count.max(1) as f64;
    let reuse = reuse(front, query.service, query.repeat);
    let candidates = servers.clone().map(|server| {
        let same_domain = server.entry.domain == front.settings.domain;
        let load_factor = match same_domain && query.key.is_none() {
            true => 1.0,
            false => unheard.max(1.0),
        };
        Candidate {
            server,
            same_domain,
            has_connection: front.pool.has_idle(&server.entry.address, reuse),
            load_factor,
        }
    });
    let loads = front.board.loads();
    let mut rng = rand::rng();
    match select_server(&loads, candidates, limits, now, || rng.random()) {
        Decision::Reject {
            retry_after,
            reason,
        } => Target::Reject(retry_after, Overload::Servers(reason)),
        Decision::Send(name) => {
            let mut servers = servers;
            let chosen = servers.find(|known| known.entry.name == name);
            let Some(known) = chosen else {
                return Target::None;
            };
            if !known.remaining_warm_up(now).is_zero() {
                front.cold.borrow_mut().record(&known.entry.name, now);
            }
            Target::Server(Arc::clone(known))
        }
    }
}
