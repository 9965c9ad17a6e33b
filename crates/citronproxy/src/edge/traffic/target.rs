//! Selection of the server to which a request is sent next.

use {
    super::{attempt::reuse_policy, slot::uses_broker, thread::TrafficState},
    crate::edge::view::View,
    citron_core::{
        dispatch::{Admission, Candidate, Decision, TimeLimits, sample_size, select_server},
        id::{ServerName, ServiceName},
        ranges::{OwnerHint, RangeKey},
        registry::ServerRecord,
        request::{Overload, RETRY_JITTER, StaleOwner, Target},
        routes::Idempotency,
        time::Time,
    },
    rand::{Rng, seq::index},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// Retry-After of a request above the concurrency limit of its service: about the time
/// until one of the requests in flight ends.
const LIMIT_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Upper bound of Retry-After if all servers are cold and have received their share of
/// requests.
const COLD_RETRY_AFTER_MAX: Duration = Duration::from_millis(500);
/// Number of servers of a service up to which all are compared for each request. Of more
/// servers, a sample is compared.
const SAMPLE_MAX: usize = 128;

/// Properties of a request by which its server is selected.
#[derive(Debug)]
pub struct TargetQuery<'a> {
    /// Service that the route selected.
    pub service: &'a ServiceName,
    /// Key of the request; `None` if the service has no keys.
    pub key: Option<RangeKey>,
    /// Time by which the latency objective expects the response.
    pub objective: Time,
    /// Time at which the client stops waiting.
    pub deadline: Time,
    /// Whether the request may run more than once.
    pub idempotency: Idempotency,
    /// Servers at which an attempt failed.
    pub tried: &'a [ServerName],
    /// Owner that rejected the request because it did not hold the key.
    pub stale_owner: Option<&'a StaleOwner>,
    /// Whether brokers may be asked for a slot; not after one has not answered.
    pub asks_brokers: bool,
}

/// Selects the server for a request: the owner of its key, or the best server of the
/// service if the request has no key.
pub fn select_target(state: &TrafficState, view: &View, query: &TargetQuery<'_>) -> Target {
    match query.key {
        Some(key) => select_owner(state, view, query, key),
        None => select_any(state, view, query),
    }
}

/// Selects the owner of the key if it may get the request now.
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

/// Selects a server of a service without keys. Servers that were not tried yet are
/// preferred.
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

/// Servers to compare for a request. Of more than [`SAMPLE_MAX`] servers, these are some
/// with an idle connection in this instance's failure domain, a random part of the others
/// in the domain, and a random part of those in other domains.
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

/// Whether the server is warm, or its cold-start limit allows another request from this
/// instance.
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

/// Rejection because the servers are cold. `remaining` is the time until the first of
/// them is warm.
fn reject_cold(remaining: Duration) -> Target {
    Target::Reject(remaining.min(COLD_RETRY_AFTER_MAX), Overload::ColdServers)
}

/// Selects the server that should respond first, by its load, among those whose stated
/// limits admit the request.
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
    // Owners of keys, and servers in other failure domains, also get requests from
    // instances that do not report their loads to this one.
    let remote_load_factor = view.instance_count as f64 / view.reporting_count.max(1) as f64;
    let remote_load_factor = remote_load_factor.max(1.0);
    let reuse_policy = reuse_policy(state, query.service, query.idempotency);
    let loads = state.shared.loads();
    let load_factor = |server: &ServerRecord| {
        let same_domain = server.entry.domain == state.settings.domain;
        match same_domain && query.key.is_none() {
            true => 1.0,
            false => remote_load_factor,
        }
    };
    let is_brokered = |server: &ServerRecord| {
        let (load, slots) = (loads.get(&server.entry.name), server.entry.slots);
        query.asks_brokers
            && uses_broker(state, view, server)
            && load.may_be_contended(slots, load_factor(server), now)
    };
    let to_candidate = |server: &'a Arc<ServerRecord>| Candidate {
        server,
        same_domain: server.entry.domain == state.settings.domain,
        has_connection: state.pool.has_idle(&server.entry.address, reuse_policy),
        load_factor: load_factor(server),
        is_brokered: is_brokered(server),
    };
    let mut rng = rand::rng();
    let mut limited: BTreeMap<ServerName, Duration> = BTreeMap::new();
    loop {
        let mut servers = servers
            .clone()
            .filter(|server| !limited.contains_key(&server.entry.name));
        let candidates = servers.clone().map(to_candidate);
        let name = match select_server(&loads, candidates, limits, now, || rng.random()) {
            Decision::Send(name) => name,
            Decision::Reject {
                retry_after,
                reason,
            } => {
                let first_free = limited.values().min().filter(|_| servers.next().is_none());
                let jitter = rng.random_range(RETRY_JITTER);
                return match first_free {
                    Some(wait) => Target::Reject(wait.mul_f64(jitter), Overload::StatedLimits),
                    None => Target::Reject(retry_after, Overload::Servers(reason)),
                };
            }
        };
        let Some(server) = servers.find(|server| server.entry.name == name) else {
            return Target::Unavailable;
        };
        let admission = state.shared.limits().admit(&name, now);
        if let Admission::Rejected(retry_after) = admission {
            limited.insert(name, retry_after);
            continue;
        }
        if !server.remaining_warm_up(now).is_zero() {
            state
                .cold_limiter
                .borrow_mut()
                .record(&server.entry.name, now);
        }
        return match admission {
            Admission::NeedsPermit(request) => Target::LimitedServer(Arc::clone(server), request),
            _ if is_brokered(server) => Target::BrokeredServer(Arc::clone(server)),
            _ => Target::Server(Arc::clone(server)),
        };
    }
}
