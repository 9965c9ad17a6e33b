//! Everything that may turn a request away, asked in one place.

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

/// When a caller may come back whose operator has too much in progress.
const OPERATOR_LIMIT_WAIT: Duration = Duration::from_secs(1);

/// A try that is about to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptRequest {
    /// Its service.
    pub service: ServiceName,
    /// Where it goes.
    pub server: ServerName,
    /// Names it among those that wait.
    pub ticket: Ticket,
    /// What makes it the same request when it is sent again.
    pub fingerprint: Fingerprint,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// When its caller stops waiting.
    pub deadline: Time,
}

/// How a try that was started has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// An answer was read whole.
    Answered {
        /// Time from the write to the answer's head: the rest depends on how fast
        /// the caller reads.
        head: Duration,
    },
    /// The server refused it for lack of slots.
    Refused,
    /// The connection was lost, or none could be made.
    Lost(ExchangeStage),
    /// No answer came in time, on a connection opened for the try or with the
    /// server to blame for another reason.
    TimedOut,
    /// Anything that says nothing about the server: the caller left, an old
    /// connection was silent, the epoch was refused, the write was withheld.
    Other,
}

/// Limits, health and crashes of one instance, shared by its traffic threads.
///
/// [`Self::set_map`] for each new revision. For a request: [`Self::begin_request`] once;
/// then [`Self::admit`] before each try, [`Self::end`] after each that was started,
/// [`Self::next`] until `None` after each end and whenever [`Self::ready_at`] has come;
/// and [`Self::end_request`] once. What [`Self::admit`] or [`Self::next`] sheds goes to the
/// attempt as `Event::Denied`.
#[derive(Debug)]
pub struct AdmissionChain {
    controllers: BTreeMap<ServerName, AdmissionController>,
    pools: BTreeMap<ServiceName, PoolHealth>,
    operators: OperatorLimiter,
    /// Crashes, for the exchange with other instances and for operators.
    pub crashes: CrashTracker,
}

impl AdmissionChain {
    /// Guards that allow so many requests in progress.
    pub fn new(limit: usize) -> Self {
        Self {
            controllers: BTreeMap::new(),
            pools: BTreeMap::new(),
            operators: OperatorLimiter::new(limit),
            crashes: CrashTracker::new(CrashConfig::STANDARD),
        }
    }

    /// Follows the rows. New servers begin with the even part of `instances`
    /// instances; those that stay keep their state.
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

    /// A request begins; `false` if its operator has its part of the instance.
    pub fn begin_request(&mut self, operator: &OperatorName) -> bool {
        self.operators.try_acquire(operator)
    }

    /// A request that entered is over.
    pub fn end_request(&mut self, operator: &OperatorName) {
        self.operators.release(operator);
    }

    /// What a caller is told whose request may not enter.
    pub fn operator_limit_shed() -> Admission {
        Admission::Shed {
            reason: FailureReason::OperatorLimit,
            wait: OPERATOR_LIMIT_WAIT,
        }
    }

    /// Whether a try may be sent. The gate comes last, so that what is
    /// refused for another reason takes neither a slot nor the cap.
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

    /// A try that was started has ended, after so long. `label` names the request
    /// to operators if it crashes servers.
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

    /// Takes the next waiting request of a server that may start, or that has to
    /// be refused.
    pub fn next(&mut self, server: &ServerName, now: Time) -> Option<QueueDecision> {
        self.controllers.get_mut(server)?.next(now)
    }

    /// When [`Self::next`] may have an answer without another event before.
    pub fn ready_at(&self, server: &ServerName, now: Time) -> Option<Time> {
        self.controllers.get(server)?.ready_at(now)
    }

    /// The caller of a waiting request left.
    pub fn cancel(&mut self, attempt: &AttemptRequest) {
        if let Some(controller) = self.controllers.get_mut(&attempt.server) {
            controller.cancel(attempt.ticket, attempt.deadline);
        }
    }

    /// What to send to the other instances, once for each exchange.
    pub fn demands(&mut self, now: Time) -> BTreeMap<ServerName, Demand> {
        let controllers = self.controllers.iter_mut();
        controllers
            .map(|(name, controller)| (name.clone(), controller.demand(now)))
            .collect()
    }

    /// Sets this instance's part of a server.
    pub fn set_quota(&mut self, server: &ServerName, quota: ServerQuota, now: Time) {
        if let Some(controller) = self.controllers.get_mut(server) {
            controller.set_share(quota.share, now);
            controller.set_cap(quota.cap, now);
        }
    }

    /// The servers that are ejected, for the planner to move their shards.
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
