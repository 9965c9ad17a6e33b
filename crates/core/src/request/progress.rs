//! State machine of one request.

use {
    super::{
        AttemptEnd, DetourEnd, DetourPeer, Event, FinalResponse, Overload, RETRY_JITTER, Reason,
        RequestContext, StaleOwner, Step, Target, Wake, event::means_not_run,
    },
    crate::{
        dispatch::{RejectReason, retry_after_rest},
        id::{InstanceId, ServerName},
        registry::ServerRecord,
        routes::Idempotency,
        routing::Outcome,
        time::Time,
    },
    std::{sync::Arc, time::Duration},
};

/// Longest wait for a server with capacity before the request is rejected, as a divisor
/// of the latency objective.
const CAPACITY_WAIT_DIVISOR: u32 = 8;
/// Interval at which a waiting request selects a server again. It also does so whenever a
/// request of this instance ends; the loads that other instances cause become known only
/// with their heartbeats.
const RECHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Share of the latency objective for which a request waits for a moving key. A move takes
/// about as long as the requests in progress on its keys. The limit is set so that most
/// requests that wait for a move still meet their latency objective.
const MOVE_WAIT_SHARE: f64 = 0.8;
/// Retry-After if the key is moving or has no owner, or no server is available.
const MOVE_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Retry-After of an instance that shuts down: others serve the request.
const SHUTDOWN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Retry-After of a request that servers refused or could not be sent, before it is
/// scaled by the rejection rate.
const REJECTED_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Upper bound of that Retry-After, reached at servers that reject nearly all requests.
const REJECTED_RETRY_AFTER_MAX: Duration = Duration::from_secs(3);
/// Half of the first delay before a request is sent again to an owner that rejected its
/// key. The planner sends a grant some milliseconds after it commits the map that names
/// the new owner. The delay doubles with each such rejection.
const GRANT_DELAY: Duration = Duration::from_millis(20);
/// Rejections by owners without the key after which the same owner is still tried again.
/// After one more, the request is sent only to another owner or under a later epoch.
const MISDIRECTED_MAX: u32 = 3;
/// Servers to which the request could not be sent, after which the client is told to
/// retry later.
const UNSENT_MAX: u32 = 4;
/// Least time left to the deadline with which another attempt is made.
const RETRY_TIME_MIN: Duration = Duration::from_millis(60);
/// Largest number of other instances through which a request is sent, one after the other.
const DETOURS_MAX: usize = 2;

/// From whom a request was received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// A client.
    Client,
    /// Another instance. The request takes no further detour.
    Peer,
}

/// Properties of a request by which its steps are decided.
#[derive(Debug, Clone, Copy)]
pub struct RequestTraits {
    /// From whom the request was received.
    pub origin: Origin,
    /// Whether the request has a key and therefore goes to the owner of the key.
    pub is_keyed: bool,
    /// Whether the request may run more than once.
    pub idempotency: Idempotency,
    /// Time at which the request was received.
    pub started: Time,
    /// Time within which the response should arrive.
    pub latency_objective: Duration,
    /// Time at which the client stops waiting.
    pub deadline: Time,
    /// Number of servers to which the route allows to send the request.
    pub max_attempts: u32,
}

/// State machine that decides each step of a request.
///
/// It reads the view and selects a server, waits if there is no capacity, sends the request,
/// and repeats this after attempts that failed, as long as the request may run again. A
/// request is rejected only if it is certain that it has not run.
///
/// The first step is [`Step::ReadView`]. [`Self::handle`] returns the steps that follow.
#[derive(Debug)]
pub struct RequestProgress {
    traits: RequestTraits,
    /// Servers that an attempt failed at, other than owners that did not hold the key.
    tried: Vec<ServerName>,
    /// Other instances through which the request was to be sent.
    detours: Vec<InstanceId>,
    /// Number of `tried` servers to which the request could not be sent. They do not
    /// count against the attempts that the route allows.
    unsent: u32,
    /// Last owner that rejected the request because it did not hold the key.
    stale_owner: Option<StaleOwner>,
    /// Number of rejections by owners without the key.
    misdirected: u32,
    /// Whether an attempt that has ended, or is in progress at the deadline, may have run
    /// the request.
    may_have_run: bool,
    /// Whether brokers may be asked for a slot.
    asks_brokers: bool,
    /// Number of attempts, for metrics.
    attempts: u32,
    /// Outcome that the response reports to the client.
    outcome: Outcome,
}

impl RequestProgress {
    /// Creates the state of a request that was just received.
    pub fn new(traits: RequestTraits) -> Self {
        Self {
            traits,
            tried: Vec::new(),
            detours: Vec::new(),
            unsent: 0,
            stale_owner: None,
            misdirected: 0,
            may_have_run: false,
            asks_brokers: true,
            attempts: 0,
            outcome: Outcome::Ran,
        }
    }

    /// Servers that an attempt failed at, other than owners that did not hold the key.
    pub fn tried(&self) -> &[ServerName] {
        &self.tried
    }

    /// Last owner that rejected the request because it did not hold the key.
    pub fn stale_owner(&self) -> Option<&StaleOwner> {
        self.stale_owner.as_ref()
    }

    /// Whether brokers may be asked for a slot. After one that did not answer, the load that
    /// this instance knows of decides.
    pub fn asks_brokers(&self) -> bool {
        self.asks_brokers
    }

    /// Number of attempts so far.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Outcome that the response reports to the client.
    pub fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// Time since the request was received.
    pub fn elapsed(&self, now: Time) -> Duration {
        now - self.traits.started
    }

    /// Handles an event and returns what to do next.
    pub fn handle<R>(
        &mut self,
        event: Event<R>,
        now: Time,
        context: &impl RequestContext,
    ) -> Step<R> {
        match event {
            Event::NoView => self
                .reject(MOVE_RETRY_AFTER, Reason::NoConfiguration, now)
                .into(),
            Event::ViewRead => self.on_view(now, context),
            Event::Selected(target) => self.on_target(target, now, context),
            Event::SlotGranted(server) => self.on_slot(server, now, context),
            Event::SlotDenied {
                retry_after,
                reason,
            } => self.reject(retry_after, Reason::NoSlot(reason), now).into(),
            Event::SlotUnavailable => {
                self.asks_brokers = false;
                Step::ReadView
            }
            Event::PermitGranted(server) => self.send(server, now, context),
            // The selection takes another server, or rejects.
            Event::PermitDenied => Step::ReadView,
            Event::AttemptEnded(server, end) => self.on_attempt_end(server, end, now, context),
            Event::DetourEnded(peer, end) => self.on_detour_end(peer, end, now, context),
            Event::BothEnded {
                server,
                direct: Some(direct @ AttemptEnd::Responded(..)),
                peer,
                ..
            } => {
                self.detours.push(peer);
                self.on_attempt_end(server, direct, now, context)
            }
            Event::BothEnded {
                server,
                direct,
                peer,
                detour,
            } => {
                // An attempt that is given up may be running.
                self.may_have_run |= matches!(direct, None | Some(AttemptEnd::Lost));
                self.tried.push(server);
                self.on_detour_end(peer, detour, now, context)
            }
        }
    }

    /// Ends the request at its deadline. `may_be_sent` tells whether an attempt is in progress
    /// whose request may have reached its server.
    pub fn expire<R>(
        &mut self,
        may_be_sent: bool,
        now: Time,
        context: &impl RequestContext,
    ) -> FinalResponse<R> {
        self.may_have_run |= may_be_sent;
        self.give_up(Reason::DeadlinePassed, now, context)
    }

    /// Another instance for a second attempt beside the one in progress, as no server
    /// responds to this instance. `None` if the request must not run twice, or no attempt or
    /// token of the retry budget is left for it.
    pub fn second_attempt(&self, now: Time, context: &impl RequestContext) -> Option<DetourPeer> {
        let peer = self.choose_detour(None, context)?;
        let attempts = self.sent_attempts() + 1;
        let may_send = self.traits.idempotency == Idempotency::Idempotent
            && self.may_start(now, context)
            && attempts < self.traits.max_attempts as usize
            && self.has_time(now)
            && context.can_send_twice()
            && context.take_retry();
        may_send.then_some(peer)
    }

    /// Selects a server, unless no server responds to this instance or it shuts down.
    fn on_view<R>(&mut self, now: Time, context: &impl RequestContext) -> Step<R> {
        if !self.may_start(now, context) {
            return self.reject_at_shutdown(now).into();
        }
        if !context.is_cut_off() {
            return Step::Select;
        }
        if let Some(peer) = self.choose_detour(None, context) {
            return self.send_through(peer, None, now, context);
        }
        match context.is_surely_cut_off() || self.traits.origin == Origin::Peer {
            true => self.reject_unreached(Reason::Unreached, now).into(),
            false => Step::Select,
        }
    }

    /// Handles the result of the selection: waits if there is no capacity or the key is
    /// moving, and rejects the request if the wait exceeds its limit.
    fn on_target<R>(
        &mut self,
        target: Target,
        now: Time,
        context: &impl RequestContext,
    ) -> Step<R> {
        match target {
            Target::Server(server) => self.send(server, now, context),
            Target::BrokeredServer(server) => Step::AcquireSlot(server),
            Target::LimitedServer(server, request) => Step::AcquirePermit(server, request),
            Target::Reject(retry_after, overload) => {
                self.on_overload(retry_after, overload, now, context)
            }
            Target::KeyMoving => {
                let wait_max = self.traits.latency_objective.mul_f64(MOVE_WAIT_SHARE);
                match self.elapsed(now) > wait_max {
                    true => self.reject(MOVE_RETRY_AFTER, Reason::KeyMoving, now).into(),
                    false => wait(Wake::ViewChanged, now),
                }
            }
            Target::Unavailable => match self.elapsed(now) > self.capacity_wait_max() {
                true => self.reject(MOVE_RETRY_AFTER, Reason::NoServer, now).into(),
                false => wait(Wake::ViewChanged, now),
            },
        }
    }

    /// Handles a selection that found no capacity.
    fn on_overload<R>(
        &mut self,
        retry_after: Duration,
        overload: Overload,
        now: Time,
        context: &impl RequestContext,
    ) -> Step<R> {
        if overload == Overload::Servers(RejectReason::Unreachable) {
            if self.traits.origin == Origin::Peer {
                return self.reject_unreached(Reason::OwnerUnreached, now).into();
            }
            let owner = context.owner();
            if let Some(peer) = self.choose_detour(owner.as_ref(), context) {
                return self.send_through(peer, owner, now, context);
            }
        }
        if !overload.may_end_soon() {
            return self
                .reject(retry_after, Reason::Overload(overload), now)
                .into();
        }
        if self.elapsed(now) > self.capacity_wait_max() {
            if let Some(owner) = context.owner() {
                context.record_rejection(&owner);
            }
            return self
                .reject(retry_after, Reason::Overload(overload), now)
                .into();
        }
        wait(Wake::CapacityFreed, now)
    }

    /// Sends the request to a server whose broker has granted a slot, unless the key has moved
    /// to another one while the request was queued.
    fn on_slot<R>(
        &mut self,
        server: Arc<ServerRecord>,
        now: Time,
        context: &impl RequestContext,
    ) -> Step<R> {
        let owner = context.owner();
        if owner.is_some_and(|owner| owner != server.entry.name) {
            return Step::ReadView;
        }
        self.send(server, now, context)
    }

    /// Sends the request to a server that admits it.
    fn send<R>(
        &mut self,
        server: Arc<ServerRecord>,
        now: Time,
        context: &impl RequestContext,
    ) -> Step<R> {
        self.start_attempt(Step::Send(server), now, context)
    }

    /// Sends the request through another instance.
    fn send_through<R>(
        &mut self,
        peer: DetourPeer,
        owner: Option<ServerName>,
        now: Time,
        context: &impl RequestContext,
    ) -> Step<R> {
        self.start_attempt(Step::Detour(peer, owner), now, context)
    }

    /// Counts an attempt and returns its step, unless requests like this one crash servers or
    /// the instance shuts down.
    fn start_attempt<R>(
        &mut self,
        step: Step<R>,
        now: Time,
        context: &impl RequestContext,
    ) -> Step<R> {
        if let Some(retry_after) = context.quarantine_left() {
            return self.reject(retry_after, Reason::Quarantined, now).into();
        }
        if !self.may_start(now, context) {
            return self.reject_at_shutdown(now).into();
        }
        self.attempts += 1;
        step
    }

    /// Handles the end of an attempt at a server.
    fn on_attempt_end<R>(
        &mut self,
        server: ServerName,
        end: AttemptEnd<R>,
        now: Time,
        context: &impl RequestContext,
    ) -> Step<R> {
        let should_retry = match end {
            AttemptEnd::Refused(None) | AttemptEnd::Misdirected(None)
                if self.traits.idempotency == Idempotency::AtMostOnce =>
            {
                // The request may still run, also if the refusal is its own: nothing tells.
                self.may_have_run = true;
                return self.give_up(Reason::UnprovenRefusal, now, context).into();
            }
            AttemptEnd::Responded(status, response) => {
                return self.on_response(server, status, response, now, context);
            }
            AttemptEnd::NotSent => self.may_try_another(server, now, context),
            AttemptEnd::Refused(_) => {
                if let Some(rest) = self.owner_rest(&server, context) {
                    self.tried.push(server);
                    return self.reject(rest, Reason::OwnerResting, now).into();
                }
                self.may_retry(server, now, context)
            }
            AttemptEnd::Misdirected(_) if !self.traits.is_keyed => {
                self.may_try_another(server, now, context) && context.take_retry()
            }
            AttemptEnd::Misdirected(_) => self.may_retry_owner(server, now, context),
            AttemptEnd::Lost => {
                self.may_have_run = true;
                // A request that must not run twice is not retried and takes no token
                // from the retry budget.
                self.traits.idempotency == Idempotency::Idempotent
                    && self.may_retry(server, now, context)
            }
        };
        match should_retry {
            true => Step::ReadView,
            false => self.give_up_attempts(now, context),
        }
    }

    /// Ends a request of which no further attempt is made.
    fn give_up_attempts<R>(&mut self, now: Time, context: &impl RequestContext) -> Step<R> {
        let reason = match context.can_resend() {
            true => Reason::NoTryLeft,
            false => Reason::BodyConsumed,
        };
        self.give_up(reason, now, context).into()
    }

    /// Forwards a response, or retries the request. Server errors are retried if the request
    /// is idempotent.
    fn on_response<R>(
        &mut self,
        server: ServerName,
        status: u16,
        response: R,
        now: Time,
        context: &impl RequestContext,
    ) -> Step<R> {
        self.may_have_run = true;
        let is_failure = (500..600).contains(&status);
        if is_failure
            && self.traits.idempotency == Idempotency::Idempotent
            && self.may_retry(server, now, context)
        {
            return Step::ReadView;
        }
        match means_not_run(status) {
            // Clients take these statuses to mean that the request has not run. The
            // server did not guarantee it, so that the response must not claim it.
            true => self.respond_unknown(Reason::ServerFailed, now).into(),
            false => FinalResponse::Forward(response).into(),
        }
    }

    /// Handles the end of an attempt through another instance.
    fn on_detour_end<R>(
        &mut self,
        peer: InstanceId,
        end: DetourEnd<R>,
        now: Time,
        context: &impl RequestContext,
    ) -> Step<R> {
        self.detours.push(peer);
        match end {
            DetourEnd::Responded(status, response) if means_not_run(status) => {
                self.forward_rejection(response, now).into()
            }
            DetourEnd::Responded(_, response) => {
                self.may_have_run = true;
                FinalResponse::Forward(response).into()
            }
            DetourEnd::Unreached(response) => {
                match self.detours.len() < DETOURS_MAX && context.can_resend() {
                    true => Step::ReadView,
                    false => self.forward_rejection(response, now).into(),
                }
            }
            DetourEnd::NotSent if context.can_resend() => Step::ReadView,
            DetourEnd::NotSent => self.give_up_attempts(now, context),
            DetourEnd::Lost => {
                self.may_have_run = true;
                let may_retry = self.traits.idempotency == Idempotency::Idempotent
                    && self.may_resend(now, context)
                    && context.take_retry();
                match may_retry {
                    true => Step::ReadView,
                    false => self.give_up_attempts(now, context),
                }
            }
        }
    }

    /// Forwards a rejection by another instance, unless an earlier attempt may have run the
    /// request.
    fn forward_rejection<R>(&mut self, response: R, now: Time) -> FinalResponse<R> {
        if self.may_have_run {
            return self.end_unknown(Reason::RejectedElsewhere, now);
        }
        self.outcome = Outcome::NotRun;
        FinalResponse::Forward(response)
    }

    /// Another instance to send the request through, as the servers do not respond to this
    /// one. `owner` is the server that should get it; `None` if any server may.
    fn choose_detour(
        &self,
        owner: Option<&ServerName>,
        context: &impl RequestContext,
    ) -> Option<DetourPeer> {
        let in_vain = owner
            .is_some_and(|owner| context.is_unreached_elsewhere(owner) && !context.is_cut_off());
        if self.traits.origin == Origin::Peer || in_vain || self.detours.len() >= DETOURS_MAX {
            return None;
        }
        context.choose_peer(&self.detours)
    }

    /// Number of `tried` servers that count against the attempts that the route allows.
    fn sent_attempts(&self) -> usize {
        self.tried.len() - self.unsent as usize
    }

    /// Counts an attempt at `server`. Whether the request may be retried; takes a token
    /// from the retry budget if the route and the deadline allow a retry.
    fn may_retry(&mut self, server: ServerName, now: Time, context: &impl RequestContext) -> bool {
        self.tried.push(server);
        self.sent_attempts() < self.traits.max_attempts as usize
            && self.may_resend(now, context)
            && context.take_retry()
    }

    /// Records a server to which the request could not be sent, or that is not there any more.
    /// Whether another server may be tried. A request that was not sent causes no load at the
    /// service, so that this takes no token from the retry budget.
    fn may_try_another(
        &mut self,
        unreached: ServerName,
        now: Time,
        context: &impl RequestContext,
    ) -> bool {
        self.tried.push(unreached);
        self.unsent += 1;
        self.unsent < UNSENT_MAX && self.may_resend(now, context)
    }

    /// Records a rejection by an owner that did not hold the key. Whether the request may
    /// be sent to an owner again.
    ///
    /// The request has not run, and the rejection does not count against the attempts
    /// that the route allows: a move consists of a release, a commit and a grant, and the
    /// request may arrive before any of them.
    fn may_retry_owner(
        &mut self,
        owner: ServerName,
        now: Time,
        context: &impl RequestContext,
    ) -> bool {
        self.misdirected += 1;
        // Beyond the limit, only a map or a notice that names another owner, or a later
        // epoch, ends the wait.
        let retry_at = match self.misdirected <= MISDIRECTED_MAX {
            true => now + GRANT_DELAY * (1 << self.misdirected.min(4)),
            false => self.traits.deadline,
        };
        self.stale_owner = Some(StaleOwner {
            owner,
            epoch: context.epoch(),
            retry_at,
        });
        self.misdirected <= MISDIRECTED_MAX + 1
            && self.may_resend(now, context)
            && context.take_retry()
    }

    /// Whether the body and the deadline allow another attempt.
    fn may_resend(&self, now: Time, context: &impl RequestContext) -> bool {
        self.has_time(now) && context.can_resend()
    }

    /// Whether an attempt may start, also if this instance shuts down.
    fn may_start(&self, now: Time, context: &impl RequestContext) -> bool {
        let shutdown = context.shutdown();
        shutdown.is_none_or(|shutdown| shutdown.may_start(now, self.traits.deadline))
    }

    /// Whether enough time is left to the deadline for another attempt.
    fn has_time(&self, now: Time) -> bool {
        self.traits.deadline - now > RETRY_TIME_MIN
    }

    /// Longest wait for capacity or a server.
    fn capacity_wait_max(&self) -> Duration {
        self.traits.latency_objective / CAPACITY_WAIT_DIVISOR
    }

    /// Retry-After if the request is for a key and its owner has asked this instance for
    /// rest.
    fn owner_rest(&self, owner: &ServerName, context: &impl RequestContext) -> Option<Duration> {
        if !self.traits.is_keyed {
            return None;
        }
        let rest = context.remaining_rest(owner)?;
        Some(retry_after_rest(rest, context.random()))
    }

    /// Retry-After for a request that servers refused or could not be sent. It grows with
    /// the rejection rate of the last server.
    fn rejection_retry_after(&self, context: &impl RequestContext) -> Duration {
        let last = self.tried.last();
        let clients = last.map_or(1.0, |last| context.clients_per_admission(last));
        let spread = RETRY_JITTER.end - RETRY_JITTER.start;
        let jitter = RETRY_JITTER.start + spread * context.random();
        let retry_after = REJECTED_RETRY_AFTER.mul_f64(clients * jitter);
        retry_after.min(REJECTED_RETRY_AFTER_MAX)
    }

    /// Ends a request that is not tried any further: rejects it if it cannot have run.
    fn give_up<R>(
        &mut self,
        reason: Reason,
        now: Time,
        context: &impl RequestContext,
    ) -> FinalResponse<R> {
        if self.may_have_run {
            return self.end_unknown(reason, now);
        }
        self.reject(self.rejection_retry_after(context), reason, now)
    }

    /// Rejects a request that no server would get. If it came from another instance, that one
    /// may try a third.
    fn reject_unreached<R>(&mut self, reason: Reason, now: Time) -> FinalResponse<R> {
        let mut response = self.reject(MOVE_RETRY_AFTER, reason, now);
        if let FinalResponse::Reject { is_unreached, .. } = &mut response {
            *is_unreached = self.traits.origin == Origin::Peer;
        }
        response
    }

    /// Rejects a request that would be aborted. If it came from another instance, that one may
    /// try a third.
    fn reject_at_shutdown<R>(&mut self, now: Time) -> FinalResponse<R> {
        let mut response = self.reject(SHUTDOWN_RETRY_AFTER, Reason::ShuttingDown, now);
        if let FinalResponse::Reject { is_unreached, .. } = &mut response {
            *is_unreached = self.traits.origin == Origin::Peer;
        }
        response
    }

    /// Rejects the request, unless it may have run.
    fn reject<R>(&mut self, retry_after: Duration, reason: Reason, now: Time) -> FinalResponse<R> {
        if self.may_have_run {
            return self.end_unknown(reason, now);
        }
        self.outcome = Outcome::NotRun;
        FinalResponse::Reject {
            retry_after,
            reason,
            is_unreached: self.traits.origin == Origin::Peer && self.unsent > 0,
        }
    }

    /// Ends a request that may have run and has no response.
    fn end_unknown<R>(&mut self, reason: Reason, now: Time) -> FinalResponse<R> {
        self.outcome = Outcome::Unknown;
        self.respond_unknown(reason, now)
    }

    fn respond_unknown<R>(&self, reason: Reason, now: Time) -> FinalResponse<R> {
        FinalResponse::Unknown {
            reason,
            is_late: now >= self.traits.deadline,
        }
    }
}

/// Waits for an event, at most until the next regular selection.
fn wait<R>(wake: Wake, now: Time) -> Step<R> {
    Step::Wait {
        until: now + RECHECK_INTERVAL,
        wake,
    }
}
