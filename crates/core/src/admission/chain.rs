//! Chain of all checks that may reject an attempt.

use {
    super::{
        Admission, AdmissionConfig, AdmissionController, Demand, OperatorLimiter, QueueDecision,
        ReleaseReason, ServerQuota, Ticket, even_share,
    },
    crate::{
        crash::{CrashConfig, CrashTracker, Fingerprint},
        health::{HealthConfig, HealthDecision, PoolHealth},
        id::{OperatorName, ServerName, ServiceName},
        routing::{ExchangeStage, FailureReason, RouteMap},
        time::Time,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// `Retry-After` of a request above its operator's limit.
const OPERATOR_LIMIT_WAIT: Duration = Duration::from_secs(1);

/// An attempt that is about to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptRequest {
    /// Service of the request.
    pub service: ServiceName,
    /// Server that the attempt goes to.
    pub server: ServerName,
    /// Identifies the attempt in the server's queue.
    pub ticket: Ticket,
    /// Fingerprint that is the same when the request is sent again.
    pub fingerprint: Fingerprint,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Time at which the client stops waiting.
    pub deadline: Time,
}

/// How a started attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The whole response was read.
    Answered {
        /// Time from the write to the response's head. Later parts depend on how fast the
        /// client reads.
        head: Duration,
    },
    /// The server refused the attempt for lack of slots.
    Refused,
    /// The connection was lost, or none could be opened.
    Lost(ExchangeStage),
    /// The attempt timed out through the server's fault, for instance on a connection
    /// opened for it.
    TimedOut,
    /// The end says nothing about the server: the client disconnected, an old connection
    /// was dead, the epoch was refused, or nothing was written.
    Other,
}

/// Admission control, outlier detection and crash quarantine of one instance, shared by
/// its traffic threads.
///
/// [`Self::set_map`] is called for each new revision. For each request,
/// [`Self::begin_request`] is called once, [`Self::admit`] before each attempt,
/// [`Self::end`] after each attempt that was started, and [`Self::end_request`] once.
/// [`Self::next`] is called until it returns `None`, after each end and whenever the time
/// from [`Self::ready_at`] has come. What [`Self::admit`] or [`Self::next`] sheds is
/// passed to the request's state as `Event::Denied`.
#[derive(Debug)]
pub struct AdmissionChain {
    controllers: BTreeMap<ServerName, AdmissionController>,
    pools: BTreeMap<ServiceName, PoolHealth>,
    operators: OperatorLimiter,
    /// Crashes, for the exchange with other instances and for operators.
    pub crashes: CrashTracker,
}

impl AdmissionChain {
    /// Creates a chain that allows `limit` concurrent requests.
    pub fn new(limit: usize) -> Self {
        Self {
            controllers: BTreeMap::new(),
            pools: BTreeMap::new(),
            operators: OperatorLimiter::new(limit),
            crashes: CrashTracker::new(CrashConfig::STANDARD),
        }
    }

    /// Applies a new routing map. New servers start with an even share among `instances`
    /// instances; known servers keep their state.
    pub fn set_map(&mut self, map: &RouteMap, instances: usize, now: Time) {
        let mut previous = std::mem::take(&mut self.controllers);
        for row in map.servers() {
            let share = even_share(row.slots, instances);
            let new = || AdmissionController::new(AdmissionConfig::STANDARD, share, now);
            let controller = previous.remove(&row.name).unwrap_or_else(new);
            self.controllers.insert(row.name.clone(), controller);
        }
        let mut pools = std::mem::take(&mut self.pools);
        for service in map.services() {
            let name = &service.row.name;
            let new = || PoolHealth::new(HealthConfig::STANDARD);
            let mut pool = pools.remove(name).unwrap_or_else(new);
            let servers = map.servers().iter().filter(|row| row.service == *name);
            pool.set_servers(servers.map(|row| row.name.clone()));
            self.pools.insert(name.clone(), pool);
        }
    }

    /// Counts the start of a request; `false` if its operator is at its limit.
    pub fn begin_request(&mut self, operator: &OperatorName) -> bool {
        self.operators.try_acquire(operator)
    }

    /// Counts the end of a request that was started.
    pub fn end_request(&mut self, operator: &OperatorName) {
        self.operators.release(operator);
    }

    /// The rejection of a request above its operator's limit.
    pub fn operator_limit_shed() -> Admission {
        Admission::Shed {
            reason: FailureReason::OperatorLimit,
            wait: OPERATOR_LIMIT_WAIT,
        }
    }

    /// Decides about an attempt. The server's admission controller comes last, so that
    /// attempts rejected for other reasons use neither slots nor the rate limit.
    pub fn admit(&mut self, attempt: &AttemptRequest, now: Time) -> Admission {
        if let Some(wait) = self.crashes.refused_for(attempt.fingerprint, now) {
            let reason = FailureReason::Quarantined;
            return Admission::Shed { reason, wait };
        }
        let pool = self.pools.get_mut(&attempt.service);
        let check = pool.map(|pool| pool.check(&attempt.server, attempt.idempotent, now));
        if let Some(HealthDecision::Refuse { wait }) = check {
            let reason = FailureReason::Ejected;
            return Admission::Shed { reason, wait };
        }
        match self.controllers.get_mut(&attempt.server) {
            Some(controller) => controller.admit(attempt.ticket, attempt.deadline, now),
            None => Admission::Start,
        }
    }

    /// Records the end of a started attempt that took `held`. `label` describes the
    /// request to operators if it crashes servers.
    pub fn end(
        &mut self,
        attempt: &AttemptRequest,
        label: &str,
        end: AttemptEnd,
        held: Duration,
        now: Time,
    ) {
        let is_restored = self.record_health(attempt, end, now);
        match end {
            AttemptEnd::Answered { .. } => self.crashes.record_answer(attempt.fingerprint, now),
            AttemptEnd::Lost(stage) if !stage.is_unsent() => {
                self.crashes
                    .record_crash(attempt.fingerprint, label, &attempt.server, now);
            }
            _ => {}
        }
        let Some(controller) = self.controllers.get_mut(&attempt.server) else {
            return;
        };
        controller.end(release_reason(end), held, now);
        if is_restored {
            controller.start_warmup(now);
        }
    }

    /// Takes a server's next queued attempt that may start or has to be shed.
    pub fn next(&mut self, server: &ServerName, now: Time) -> Option<QueueDecision> {
        self.controllers.get_mut(server)?.next(now)
    }

    /// Time at which [`Self::next`] may return a decision without a further event.
    pub fn ready_at(&self, server: &ServerName, now: Time) -> Option<Time> {
        self.controllers.get(server)?.ready_at(now)
    }

    /// Removes a queued attempt whose client disconnected.
    pub fn cancel(&mut self, attempt: &AttemptRequest) {
        if let Some(controller) = self.controllers.get_mut(&attempt.server) {
            controller.cancel(attempt.ticket, attempt.deadline);
        }
    }

    /// Demand by server, to be sent to other instances. To be called once per exchange.
    pub fn demands(&mut self, now: Time) -> BTreeMap<ServerName, Demand> {
        let controllers = self.controllers.iter_mut();
        controllers
            .map(|(name, controller)| (name.clone(), controller.demand(now)))
            .collect()
    }

    /// Sets this instance's quota of a server.
    pub fn set_quota(&mut self, server: &ServerName, quota: ServerQuota, now: Time) {
        if let Some(controller) = self.controllers.get_mut(server) {
            controller.set_share(quota.share, now);
            controller.set_cap(quota.cap, now);
        }
    }

    /// Ejected servers, for the planner to move their shards.
    pub fn ejected(&self) -> impl Iterator<Item = &ServerName> {
        self.pools.values().flat_map(PoolHealth::ejected)
    }

    fn record_health(&mut self, attempt: &AttemptRequest, end: AttemptEnd, now: Time) -> bool {
        let Some(pool) = self.pools.get_mut(&attempt.service) else {
            return false;
        };
        match end {
            AttemptEnd::Answered { head } => pool.record_success(&attempt.server, head, now),
            AttemptEnd::Lost(_) | AttemptEnd::TimedOut => {
                pool.record_failure(&attempt.server, now);
                false
            }
            AttemptEnd::Refused => {
                pool.record_alive(&attempt.server);
                false
            }
            AttemptEnd::Other => false,
        }
    }
}

fn release_reason(end: AttemptEnd) -> ReleaseReason {
    match end {
        AttemptEnd::Answered { .. } => ReleaseReason::Answered,
        AttemptEnd::Refused => ReleaseReason::Refused,
        AttemptEnd::TimedOut => ReleaseReason::TimedOut,
        AttemptEnd::Lost(_) | AttemptEnd::Other => ReleaseReason::Other,
    }
}
