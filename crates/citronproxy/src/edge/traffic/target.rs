//! Where a request goes next.

use {
    super::{attempt::reuse_policy, thread::TrafficState},
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
const LIMIT_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Retry-After where all servers are cold and have what they take, at most.
const COLD_RETRY_AFTER_MAX: Duration = Duration::from_millis(500);

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
    KeyMoving,
    /// No server can have the key soon, or there is none at all.
    Unavailable,
}

/// Why a request is rejected.
#[derive(Debug, Clone, Copy)]
pub enum Overload {
    /// The servers have no room.
    Servers(RejectReason),
    /// This instance's limit of requests at the service is reached.
    ConcurrencyLimit,
    /// Its share of the requests to cold servers is used up.
    ColdServers,
}

impl fmt::Display for Overload {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Servers(reason) => reason.fmt(f),
            Self::ConcurrencyLimit => f.write_str("over the limit that late answers set"),
            Self::ColdServers => f.write_str("cold servers take no more now"),
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
    pub idempotency: Idempotency,
    /// Servers that have had it.
    pub tried: &'a [ServerName],
    /// The owner that did not have the key.
    pub stale_owner: Option<&'a StaleOwner>,
}

/// An owner that rejected a key: it has released it, or was not granted it yet.
#[derive(Debug)]
pub struct StaleOwner {
    /// The owner.
    pub owner: ServerName,
    /// The epoch under which it should have had the key.
    pub epoch: Epoch,
    /// When it may be asked again under that epoch.
    pub retry_at: Time,
}

/// Selects the server for a request.
pub fn select_target(state: &TrafficState, view: &View, query: &TargetQuery<'_>) -> Target {
    match query.key {
        Some(key) => select_owner(state, view, query, key),
        None => select_any(state, view, query),
    }
}

fn select_owner(
    state: &TrafficState,
    view: &View,
    query: &TargetQuery<'_>,
    key: RangeKey,
) -> Target {
    let map = view.maps.get(query.service);
    let Some(slice) = map.and_then(|map| map.slice(key)) else {
        return Target::Unavailable;
    };
    let now = state.clock.now();
    let hint = state.shared.owner_hint(query.service, key, slice, now);
    let owner = match &hint {
        Some(OwnerHint::Released) => return Target::KeyMoving,
        Some(OwnerHint::Owned(owner)) => Some(owner),
        None => slice.owner.as_ref(),
    };
    let Some(owner) = owner else {
        return Target::Unavailable;
    };
    let is_stale = |stale_owner: &StaleOwner| {
        stale_owner.owner == *owner
            && stale_owner.epoch >= slice.epoch
            && now < stale_owner.retry_at
    };
    if query.stale_owner.is_some_and(is_stale) {
        return Target::KeyMoving;
    }
    let Some(server) = view.server(query.service, owner) else {
        return Target::Unavailable;
    };
    if server.has_address_conflict() {
        return Target::KeyMoving;
    }
    let send_deadline = server.send_deadline(&state.send_bounds);
    if send_deadline.is_some_and(|deadline| now > deadline) {
        return Target::Unavailable;
    }
    if !admits_if_cold(state, view, server, query, now) {
        return reject_cold(server.remaining_warm_up(now));
    }
    select_by_load(state, view, query, [server].into_iter())
}

fn select_any(state: &TrafficState, view: &View, query: &TargetQuery<'_>) -> Target {
    let servers = view.servers(query.service).iter();
    let available: Vec<&Arc<ServerRecord>> =
        servers.filter(|server| server.is_available()).collect();
    if available.is_empty() {
        return Target::Unavailable;
    }
    if !state.concurrency_limits.admits(query.service) {
        return Target::Reject(LIMIT_RETRY_AFTER, Overload::ConcurrencyLimit);
    }
    let now = state.clock.now();
    let admitted: Vec<&Arc<ServerRecord>> = available
        .iter()
        .copied()
        .filter(|server| admits_if_cold(state, view, server, query, now))
        .collect();
    if admitted.is_empty() {
        let remaining = available
            .iter()
            .map(|server| server.remaining_warm_up(now))
            .min();
        return reject_cold(remaining.unwrap_or_default());
    }
    let available = admitted;
    let is_untried = |server: &&Arc<ServerRecord>| !query.tried.contains(&server.entry.name);
    let untried: Vec<&Arc<ServerRecord>> = available.iter().copied().filter(is_untried).collect();
    let candidates = if untried.is_empty() {
        available
    } else {
        untried
    };
    let candidates = sample_servers(state, query, candidates);
    select_by_load(state, view, query, candidates.into_iter())
}

/// The servers that are weighed, some of many: of the same failure domain and of others, and
/// those to which a connection is kept.
fn sample_servers<'a>(
    state: &TrafficState,
    query: &TargetQuery<'_>,
    servers: Vec<&'a Arc<ServerRecord>>,
) -> Vec<&'a Arc<ServerRecord>> {
    if servers.len() <= SAMPLE_MAX {
        return servers;
    }
    let own_domain = &state.settings.domain;
    let (local, remote): (Vec<_>, Vec<_>) = servers
        .into_iter()
        .partition(|server| server.entry.domain == *own_domain);
    let reuse_policy = reuse_policy(state, query.service, query.idempotency);
    let has_idle =
        |server: &&&Arc<ServerRecord>| state.pool.has_idle(&server.entry.address, reuse_policy);
    let connected = local.iter().filter(has_idle).take(SAMPLE_MAX / 4);
    let mut sample: Vec<&Arc<ServerRecord>> = connected.copied().collect();
    let mut rng = rand::rng();
    for group in [local, remote] {
        let indexes = index::sample(&mut rng, group.len(), group.len().min(SAMPLE_MAX / 2));
        sample.extend(indexes.into_iter().map(|index| group[index]));
    }
    sample
}

/// Whether a server may get a request, if it is cold.
fn admits_if_cold(
    state: &TrafficState,
    view: &View,
    server: &ServerRecord,
    query: &TargetQuery<'_>,
    now: Time,
) -> bool {
    if server.remaining_warm_up(now).is_zero() {
        return true;
    }
    let service = view.config.service(query.service);
    let Some(slow_start) = service.and_then(|service| service.slow_start) else {
        return true;
    };
    let Some(group) = &view.slow_start_group else {
        return false;
    };
    let max_requests = state.settings.cold_bound.max_requests(&slow_start);
    let entry = &server.entry;
    let mut limiter = state.cold_limiter.borrow_mut();
    let share = limiter.share(group, &entry.name, || match query.key {
        Some(_) => group.owner_share(&entry.name, max_requests),
        None => group.pool_share(&entry.name, &entry.domain, max_requests),
    });
    limiter.admits(&entry.name, share, now)
}

fn reject_cold(remaining: Duration) -> Target {
    Target::Reject(remaining.min(COLD_RETRY_AFTER_MAX), Overload::ColdServers)
}

fn select_by_load<'a>(
    state: &TrafficState,
    view: &View,
    query: &TargetQuery<'_>,
    servers: impl Iterator<Item = &'a Arc<ServerRecord>> + Clone,
) -> Target {
    let now = state.clock.now();
    let limits = TimeLimits {
        objective: query.objective - now,
        deadline: query.deadline - now,
        sample_size: sample_size(view.report_interval),
    };
    // Owners of keys, and servers of other failure domains, get requests from
    // instances that do not report here.
    let remote_load_factor = view.instance_count as f64 / view.reporting_count.max(1) as f64;
    let reuse_policy = reuse_policy(state, query.service, query.idempotency);
    let candidates = servers.clone().map(|server| {
        let same_domain = server.entry.domain == state.settings.domain;
        let load_factor = match same_domain && query.key.is_none() {
            true => 1.0,
            false => remote_load_factor.max(1.0),
        };
        Candidate {
            server,
            same_domain,
            has_connection: state.pool.has_idle(&server.entry.address, reuse_policy),
            load_factor,
        }
    });
    let loads = state.shared.loads();
    let mut rng = rand::rng();
    match select_server(&loads, candidates, limits, now, || rng.random()) {
        Decision::Reject {
            retry_after,
            reason,
        } => Target::Reject(retry_after, Overload::Servers(reason)),
        Decision::Send(name) => {
            let mut servers = servers;
            let chosen = servers.find(|server| server.entry.name == name);
            let Some(server) = chosen else {
                return Target::Unavailable;
            };
            if !server.remaining_warm_up(now).is_zero() {
                state
                    .cold_limiter
                    .borrow_mut()
                    .record(&server.entry.name, now);
            }
            Target::Server(Arc::clone(server))
        }
    }
}
