//! A client's request in progress: selects servers, sends attempts and retries them.

use {
    super::{
        attempt::{AttemptResult, OutgoingRequest, send},
        crash,
        detour::{self, DetourResult, Origin, mark_unreached},
        permit,
        response::{ResponseBody, local_response, not_run_response},
        target::{Overload, RETRY_JITTER, StaleOwner, Target, TargetQuery, select_target},
        thread::TrafficState,
    },
    crate::{
        edge::view::{DetourPeer, View},
        events,
    },
    citron_core::{
        crash::Fingerprint,
        dispatch::{Links, RejectReason, retry_after_rest},
        id::{Epoch, InstanceId, ServerName, ServiceName},
        ranges::{RangeKey, Slice},
        registry::ServerRecord,
        routes::{Idempotency, RouteRule},
        routing::Outcome,
        time::Time,
    },
    http::{Response, StatusCode},
    rand::Rng,
    std::{cell::Cell, future::pending, pin::pin, sync::Arc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Longest wait for a server with capacity before the request is rejected, as a divisor
/// of the latency objective.
const CAPACITY_WAIT_DIVISOR: u32 = 8;
/// Interval at which a waiting request selects a server again. It also does so whenever a
/// request of this instance ends; the loads that other instances cause become known only
/// with their heartbeats.
const RECHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Retry-After if the key is moving or has no owner, or no server is available.
const MOVE_RETRY_AFTER: Duration = Duration::from_millis(300);
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

/// Where a request is sent next.
#[derive(Debug)]
enum Hop {
    /// To this server.
    Server(Arc<ServerRecord>),
    /// Through another instance, to this server, or to any if there is none.
    Detour(DetourPeer, Option<ServerName>),
}

/// Ends of an attempt at a server and of one beside it through another instance. One of them
/// is missing if it was not made, or was given up because the other has responded.
#[derive(Debug)]
struct SendEnd {
    direct: Option<AttemptResult>,
    detour: Option<(DetourPeer, DetourResult)>,
}

impl SendEnd {
    fn direct(result: AttemptResult) -> Self {
        Self {
            direct: Some(result),
            detour: None,
        }
    }
}

/// A client's request in progress.
#[derive(Debug)]
pub struct ActiveRequest<'a> {
    /// From whom the request was received.
    pub origin: Origin,
    /// State of the traffic thread.
    pub state: &'a TrafficState,
    /// Route of the request, as configured by the operator.
    pub rule: &'a RouteRule,
    /// Service that the traffic split of the route selected.
    pub service: &'a ServiceName,
    /// Key of the request; `None` if the service has no keys.
    pub key: Option<RangeKey>,
    /// The request as it is sent to servers.
    pub request: OutgoingRequest<'a>,
    /// Time at which the request was received.
    pub started: Time,
    /// Id of the request, for logs.
    pub request_id: &'a str,
    /// Servers that an attempt failed at, other than owners that did not hold the key.
    pub tried: Vec<ServerName>,
    /// Other instances through which the request was to be sent.
    pub detours: Vec<InstanceId>,
    /// Number of `tried` servers to which the request could not be sent. They do not
    /// count against the attempts that the route allows.
    pub unsent: u32,
    /// Last owner that rejected the request because it did not hold the key.
    pub stale_owner: Option<StaleOwner>,
    /// Number of rejections by owners without the key.
    pub misdirected: u32,
    /// Whether an attempt that has ended may have run the request.
    pub has_uncertain_attempt: bool,
    /// Number of attempts, for metrics.
    pub attempts: u32,
    /// Outcome that the response reports to the client.
    pub outcome: Cell<Outcome>,
}

impl ActiveRequest<'_> {
    /// Runs the request until it has a response or its deadline passes.
    pub async fn run(mut self) -> Response<ResponseBody> {
        let remaining = self.request.deadline - self.state.clock.now();
        let mut abandonment = AbandonmentLog {
            state: self.state,
            request_id: self.request_id,
            started: self.started,
            is_abandoned: true,
        };
        let result = timeout(remaining, self.retry_loop()).await;
        abandonment.is_abandoned = false;
        let response = result.unwrap_or_else(|_| self.give_up("the deadline passed"));
        let mut metrics = self.state.local_metrics.borrow_mut();
        metrics.count_request(
            self.service,
            self.outcome.get(),
            self.attempts,
            self.elapsed(),
        );
        response
    }

    /// Sends attempts until one of them yields the response.
    async fn retry_loop(&mut self) -> Response<ResponseBody> {
        loop {
            let hop = match self.wait_for_hop().await {
                Ok(hop) => hop,
                Err(response) => return response,
            };
            if let Some(retry_after) = self.quarantine_left() {
                return self.refuse(retry_after, "requests like it crash servers");
            }
            self.attempts += 1;
            let server = match hop {
                Hop::Server(server) => server,
                Hop::Detour(peer, owner) => match self.send_through(peer, owner).await {
                    Some(response) => return response,
                    None => continue,
                },
            };
            let end = self.send_to(&server).await;
            self.request.may_be_sent.set(false);
            if let Some(response) = self.on_send_end(server, end) {
                return response;
            }
        }
    }

    /// Sends the request to a server. If this instance is cut off from all servers meanwhile,
    /// and the request may run twice, a second attempt is made through another instance. The
    /// first one goes on: its server may be at work, and the response may still come.
    async fn send_to(&self, server: &ServerRecord) -> SendEnd {
        let direct = send(self.state, server, &self.request);
        let mut direct = pin!(direct);
        let peer = tokio::select! {
            result = &mut direct => return SendEnd::direct(result),
            peer = self.wait_for_second_attempt() => peer,
        };
        let through = peer.clone();
        let detour = detour::send(self.state, &through, &self.request);
        let mut detour = pin!(detour);
        tokio::select! {
            result = &mut direct => match result {
                AttemptResult::Responded(_) => {
                    self.log_superseded(&format!("detour through {}", peer.instance));
                    SendEnd::direct(result)
                }
                _ => SendEnd { direct: Some(result), detour: Some((peer, detour.await)) },
            },
            result = &mut detour => match result {
                DetourResult::Responded(response) if !means_not_run(response.status()) => {
                    self.log_superseded(&format!("attempt at server {}", server.entry.name));
                    let result = DetourResult::Responded(response);
                    SendEnd { direct: None, detour: Some((peer, result)) }
                }
                result => SendEnd { direct: Some(direct.await), detour: Some((peer, result)) },
            },
        }
    }

    /// Waits until a second attempt may be made, and returns the instance for it. Never
    /// returns if the request must not run twice.
    async fn wait_for_second_attempt(&self) -> DetourPeer {
        let mut links = self.state.shared.subscribe_links();
        // The sender is part of the shared state and lives as long as the process.
        let _ = links.wait_for(|links| *links == Links::CutOff).await;
        let view = self.state.shared.view();
        let hop = view.and_then(|view| self.detour(&view, None));
        let attempts = self.tried.len() - self.unsent as usize + 1;
        match hop {
            Some(Hop::Detour(peer, _))
                if self.request.idempotency == Idempotency::Idempotent
                    && attempts < self.max_attempts()
                    && self.has_time()
                    && self.state.take_retry(self.service) =>
            {
                peer
            }
            _ => pending().await,
        }
    }

    /// Handles the end of the attempts that [`Self::send_to`] made. Returns the response if no
    /// further attempt follows.
    fn on_send_end(
        &mut self,
        server: Arc<ServerRecord>,
        end: SendEnd,
    ) -> Option<Response<ResponseBody>> {
        if let Some(result) = &end.direct {
            self.log_attempt(&server, result);
        }
        let (direct, (peer, detour)) = match (end.direct, end.detour) {
            (Some(direct), None) => return self.on_attempt_end(server, direct),
            (Some(direct @ AttemptResult::Responded(_)), Some((peer, result))) => {
                self.log_detour(&peer, &result);
                self.detours.push(peer.instance);
                return self.on_attempt_end(server, direct);
            }
            (direct, Some(detour)) => (direct, detour),
            (None, None) => return None,
        };
        if let Some(AttemptResult::Lost(_)) = direct {
            self.has_uncertain_attempt = true;
            crash::detect_crash(self.state, &server.entry, self.fingerprint(), &self.request);
        }
        self.tried.push(server.entry.name.clone());
        self.on_detour_end(peer, None, detour)
    }

    /// Logs an attempt that is given up since the response came from another one.
    fn log_superseded(&self, attempt: &str) {
        log::info!(
            "{} id={} waited={:?}: {attempt} given up, another attempt has responded",
            events::TRY_FAILED,
            self.request_id,
            self.elapsed()
        );
    }

    /// Sends the request through another instance. Returns the response if no further attempt
    /// follows.
    async fn send_through(
        &mut self,
        peer: DetourPeer,
        owner: Option<ServerName>,
    ) -> Option<Response<ResponseBody>> {
        let result = detour::send(self.state, &peer, &self.request).await;
        self.request.may_be_sent.set(false);
        self.on_detour_end(peer, owner, result)
    }

    /// Handles the end of an attempt through another instance. Returns the response if no
    /// further attempt follows.
    fn on_detour_end(
        &mut self,
        peer: DetourPeer,
        owner: Option<ServerName>,
        result: DetourResult,
    ) -> Option<Response<ResponseBody>> {
        self.detours.push(peer.instance.clone());
        self.log_detour(&peer, &result);
        match result {
            DetourResult::Responded(response) if means_not_run(response.status()) => {
                Some(self.not_run(response))
            }
            DetourResult::Responded(response) => {
                self.has_uncertain_attempt = true;
                Some(response)
            }
            DetourResult::Unreached(response) => {
                let now = self.state.clock.now();
                if let Some(owner) = owner {
                    // An instance of this failure domain may be behind the same cut.
                    if !peer.is_near {
                        self.state.shared.record_ended(&owner, now);
                    }
                    self.state.unreached.borrow_mut().insert(owner, now);
                }
                (self.detours.len() >= DETOURS_MAX).then(|| self.not_run(response))
            }
            DetourResult::NotSent(_) => None,
            DetourResult::Lost(_) => {
                self.has_uncertain_attempt = true;
                let may_retry = self.request.idempotency == Idempotency::Idempotent
                    && self.has_time()
                    && self.state.take_retry(self.service);
                (!may_retry).then(|| self.give_up("no try is left"))
            }
        }
    }

    /// A rejection by another instance, unless an earlier attempt may have run the request.
    fn not_run(&self, response: Response<ResponseBody>) -> Response<ResponseBody> {
        if self.may_have_run() {
            return self.give_up("another instance rejected it after an attempt");
        }
        self.outcome.set(Outcome::NotRun);
        response
    }

    /// Another instance to send the request through, as the servers do not respond to this
    /// one. `owner` is the server that should get it; `None` if any server may.
    fn detour(&self, view: &View, owner: Option<ServerName>) -> Option<Hop> {
        let now = self.state.clock.now();
        let in_vain = owner.as_ref().is_some_and(|owner| {
            let unreached = self.state.unreached.borrow();
            unreached.contains(owner, now) && !self.state.shared.is_cut_off()
        });
        if self.origin == Origin::Peer || in_vain || self.detours.len() >= DETOURS_MAX {
            return None;
        }
        let peer = detour::choose_peer(view, &self.detours)?;
        Some(Hop::Detour(peer, owner))
    }

    /// Handles the end of an attempt. Returns the response if no further attempt follows.
    fn on_attempt_end(
        &mut self,
        server: Arc<ServerRecord>,
        result: AttemptResult,
    ) -> Option<Response<ResponseBody>> {
        let name = server.entry.name.clone();
        let should_retry = match result {
            AttemptResult::Responded(response) => return self.on_response(name, response),
            AttemptResult::NotSent(_) | AttemptResult::Closed => self.may_try_another(name),
            AttemptResult::Refused => {
                if let Some(rest) = self.owner_rest(&name) {
                    self.tried.push(name);
                    return Some(self.refuse(rest, "the owner of the key has asked for rest"));
                }
                self.may_retry(name)
            }
            AttemptResult::Misdirected => self.may_retry_owner(name),
            AttemptResult::Lost(_) => {
                self.has_uncertain_attempt = true;
                crash::detect_crash(self.state, &server.entry, self.fingerprint(), &self.request);
                // A request that must not run twice is not retried and takes no token
                // from the retry budget.
                self.request.idempotency == Idempotency::Idempotent && self.may_retry(name)
            }
        };
        match should_retry {
            true => None,
            false => Some(self.give_up("no try is left")),
        }
    }

    /// Returns the response to forward; `None` if the request is retried. Server errors
    /// are retried if the request is idempotent.
    fn on_response(
        &mut self,
        server: ServerName,
        response: Response<ResponseBody>,
    ) -> Option<Response<ResponseBody>> {
        self.has_uncertain_attempt = true;
        let is_failure = response.status().is_server_error();
        let mut crashes = self.state.shared.crashes();
        if response.status().is_success() && !crashes.is_empty() {
            crashes.record_answer(self.fingerprint(), self.state.clock.now());
        }
        drop(crashes);
        if is_failure
            && self.request.idempotency == Idempotency::Idempotent
            && self.may_retry(server)
        {
            return None;
        }
        Some(match means_not_run(response.status()) {
            // Clients take these statuses to mean that the request has not run. The
            // server did not guarantee it, so that the response must not claim it.
            true => self.respond_unknown("the server failed"),
            false => response,
        })
    }

    /// Fingerprint that is equal for the same request sent again.
    fn fingerprint(&self) -> Fingerprint {
        let head = self.request.head;
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let body = self.request.body.buffered();
        Fingerprint::from_parts(&[head.method.as_str().as_bytes(), path.as_bytes(), &body])
    }

    /// Remaining quarantine of requests with this fingerprint; `None` if there is none.
    fn quarantine_left(&self) -> Option<Duration> {
        let crashes = self.state.shared.crashes();
        if crashes.is_empty() {
            return None;
        }
        crashes.refused_for(self.fingerprint(), self.state.clock.now())
    }

    /// Counts an attempt at `server`. Whether the request may be retried; takes a token
    /// from the retry budget if the route and the deadline allow a retry.
    fn may_retry(&mut self, server: ServerName) -> bool {
        self.tried.push(server);
        let attempts = self.tried.len() - self.unsent as usize;
        attempts < self.max_attempts() && self.has_time() && self.state.take_retry(self.service)
    }

    /// Records a server to which the request could not be sent. Whether another server
    /// may be tried: this causes no load at the service, so that it takes no token from
    /// the retry budget.
    fn may_try_another(&mut self, unreached: ServerName) -> bool {
        self.tried.push(unreached);
        self.unsent += 1;
        self.unsent < UNSENT_MAX && self.has_time()
    }

    /// Whether enough time is left to the deadline for another attempt.
    fn has_time(&self) -> bool {
        self.request.deadline - self.state.clock.now() > RETRY_TIME_MIN
    }

    /// Records a rejection by an owner that did not hold the key. Whether the request may
    /// be sent to an owner again.
    ///
    /// The request has not run, and the rejection does not count against the attempts
    /// that the route allows: a move consists of a release, a commit and a grant, and the
    /// request may arrive before any of them.
    fn may_retry_owner(&mut self, owner: ServerName) -> bool {
        self.misdirected += 1;
        let now = self.state.clock.now();
        // Beyond the limit, only a map or a notice that names another owner, or a later
        // epoch, ends the wait.
        let retry_at = match self.misdirected <= MISDIRECTED_MAX {
            true => now + GRANT_DELAY * (1 << self.misdirected.min(4)),
            false => self.request.deadline,
        };
        self.stale_owner = Some(StaleOwner {
            owner,
            epoch: self.epoch(),
            retry_at,
        });
        let may_resend = self.misdirected <= MISDIRECTED_MAX + 1 && self.has_time();
        may_resend && self.state.take_retry(self.service)
    }

    /// Attempts that the route allows.
    fn max_attempts(&self) -> usize {
        self.rule.max_attempts as usize
    }

    /// Epoch of the key's slice; 0 if it is unknown.
    fn epoch(&self) -> Epoch {
        self.slice().map_or(Epoch(0), |slice| slice.epoch)
    }

    /// Name of the owner of the key, for logs; `-` if there is none.
    fn owner_label(&self) -> String {
        let owner = self.slice().and_then(|slice| slice.owner);
        owner.map_or("-".to_string(), |owner| owner.to_string())
    }

    /// Slice of the map that contains the key.
    fn slice(&self) -> Option<Slice> {
        let view = self.state.shared.view()?;
        let map = view.maps.get(self.service)?;
        map.slice(self.key?).cloned()
    }

    /// Selects a server, and waits if none has capacity or the key is moving. Returns a
    /// rejection if the wait exceeds its limit.
    async fn wait_for_hop(&self) -> Result<Hop, Response<ResponseBody>> {
        let state = self.state;
        let mut view_updates = state.shared.subscribe_views();
        loop {
            view_updates.borrow_and_update();
            let Some(view) = state.shared.view() else {
                return Err(self.refuse(MOVE_RETRY_AFTER, "no configuration is known"));
            };
            let capacity_freed = state.capacity_freed.notified();
            if state.shared.is_cut_off() {
                if let Some(hop) = self.detour(&view, None) {
                    return Ok(hop);
                }
                let is_sure = state.shared.reach().is_surely_cut_off(state.clock.now());
                if is_sure || self.origin == Origin::Peer {
                    return Err(self.refuse_unreached());
                }
            }
            match self.select(&view) {
                Target::Server(server) => return Ok(Hop::Server(server)),
                Target::LimitedServer(server, request) => {
                    // After a denial the selection takes another server, or rejects.
                    if permit::acquire(state, &view, request).await {
                        return Ok(Hop::Server(server));
                    }
                }
                Target::Reject(_, Overload::Servers(RejectReason::Unreachable))
                    if self.origin == Origin::Peer =>
                {
                    return Err(self.refuse_unreached());
                }
                Target::Reject(retry_after, overload) => {
                    if matches!(overload, Overload::Servers(RejectReason::Unreachable)) {
                        let owner = self.slice().and_then(|slice| slice.owner);
                        if let Some(hop) = self.detour(&view, owner) {
                            return Ok(hop);
                        }
                    }
                    let wait_max = self.rule.latency_objective / CAPACITY_WAIT_DIVISOR;
                    if !overload.may_end_soon() {
                        return Err(self.refuse(retry_after, &overload.to_string()));
                    }
                    if self.elapsed() > wait_max {
                        self.record_owner_rejection();
                        return Err(self.refuse(retry_after, &overload.to_string()));
                    }
                    let _ = timeout(RECHECK_INTERVAL, capacity_freed).await;
                }
                Target::KeyMoving => {
                    if self.elapsed() > self.move_wait_max() {
                        return Err(self.refuse(MOVE_RETRY_AFTER, "the key is changing hands"));
                    }
                    tokio::select! {
                        _ = view_updates.changed() => {}
                        () = sleep(RECHECK_INTERVAL) => {}
                    }
                }
                Target::Unavailable => {
                    if self.elapsed() > self.rule.latency_objective / CAPACITY_WAIT_DIVISOR {
                        return Err(self.refuse(MOVE_RETRY_AFTER, "no server is there"));
                    }
                    let _ = timeout(RECHECK_INTERVAL, view_updates.changed()).await;
                }
            }
        }
    }

    /// Rejection of a request that no server would get. If it came from another instance, that
    /// one may try a third.
    fn refuse_unreached(&self) -> Response<ResponseBody> {
        let mut response = self.refuse(MOVE_RETRY_AFTER, "no server responds to this instance");
        if self.origin == Origin::Peer && !self.may_have_run() {
            mark_unreached(&mut response);
        }
        response
    }

    /// Retry-After if the request is for a key and its owner has asked this instance for
    /// rest.
    fn owner_rest(&self, owner: &ServerName) -> Option<Duration> {
        self.key?;
        let loads = self.state.shared.loads();
        let rest = loads.get(owner).remaining_rest(self.state.clock.now())?;
        Some(retry_after_rest(rest, rand::random()))
    }

    /// Records for the owner of the key that a request was rejected for lack of capacity.
    fn record_owner_rejection(&self) {
        let owner = self.slice().and_then(|slice| slice.owner);
        if let Some(owner) = owner {
            self.state.shared.loads().record_rejection(&owner);
        }
    }

    /// Selects a server by the given view.
    fn select(&self, view: &Arc<View>) -> Target {
        let query = TargetQuery {
            service: self.service,
            key: self.key,
            objective: self.request.objective,
            deadline: self.request.deadline,
            idempotency: self.request.idempotency,
            tried: &self.tried,
            stale_owner: self.stale_owner.as_ref(),
        };
        select_target(self.state, view, &query)
    }

    /// Whether the request may be running, or may have run.
    fn may_have_run(&self) -> bool {
        self.has_uncertain_attempt || self.request.may_be_sent.get()
    }

    /// Time since the request was received.
    fn elapsed(&self) -> Duration {
        self.state.clock.now() - self.started
    }

    /// Longest wait for a moving key. A move takes about as long as the requests in
    /// progress on its keys. The limit is set so that most requests that wait for a move
    /// still meet their latency objective.
    fn move_wait_max(&self) -> Duration {
        self.rule.latency_objective.mul_f64(0.8)
    }

    /// 503 response to a request that has not run and will not run.
    fn refuse(&self, retry_after: Duration, reason: &str) -> Response<ResponseBody> {
        if self.may_have_run() {
            return self.give_up(reason);
        }
        self.outcome.set(Outcome::NotRun);
        log::info!(
            "{} id={} route={} service={} server={} waited={:?} tried={} {} again={retry_after:?}: {reason}",
            events::REQUEST_REFUSED,
            self.request_id,
            self.rule.name,
            self.service,
            self.owner_label(),
            self.elapsed(),
            self.tried.len(),
            self.state.table_ages()
        );
        let mut response = not_run_response(retry_after, reason);
        if self.origin == Origin::Peer && self.unsent > 0 {
            mark_unreached(&mut response);
        }
        response
    }

    /// Retry-After for a request that servers refused or could not be sent. It grows with
    /// the rejection rate of the last server.
    fn rejection_retry_after(&self) -> Duration {
        let loads = self.state.shared.loads();
        let last = self.tried.last();
        let clients = last.map_or(1.0, |last| loads.get(last).clients_per_admission());
        let jitter = rand::rng().random_range(RETRY_JITTER);
        let retry_after = REJECTED_RETRY_AFTER.mul_f64(clients * jitter);
        retry_after.min(REJECTED_RETRY_AFTER_MAX)
    }

    /// Response to a request that is not tried any further: 503 if it cannot have run,
    /// 502 or 504 otherwise.
    fn give_up(&self, reason: &str) -> Response<ResponseBody> {
        if !self.may_have_run() {
            return self.refuse(self.rejection_retry_after(), reason);
        }
        self.outcome.set(Outcome::Unknown);
        self.respond_unknown(reason)
    }

    /// Response to a request that may have run: 504 after the deadline, 502 before it.
    fn respond_unknown(&self, reason: &str) -> Response<ResponseBody> {
        log::info!(
            "{} id={} route={} service={} server={} waited={:?} tried={} {}: {reason}",
            events::REQUEST_UNKNOWN,
            self.request_id,
            self.rule.name,
            self.service,
            self.owner_label(),
            self.elapsed(),
            self.tried.len(),
            self.state.table_ages()
        );
        let is_late = self.state.clock.now() >= self.request.deadline;
        match is_late {
            true => local_response(StatusCode::GATEWAY_TIMEOUT, reason),
            false => local_response(StatusCode::BAD_GATEWAY, reason),
        }
    }

    /// Logs an attempt through another instance that failed.
    fn log_detour(&self, peer: &DetourPeer, result: &DetourResult) {
        if !matches!(result, DetourResult::Responded(_)) {
            let (id, instance) = (self.request_id, &peer.instance);
            log::info!(
                "{} id={id} through {instance}: {result}",
                events::TRY_FAILED
            );
        }
    }

    /// Logs an attempt that failed. Other responses are not logged.
    fn log_attempt(&self, server: &ServerRecord, result: &AttemptResult) {
        if let AttemptResult::Responded(response) = result
            && !response.status().is_server_error()
        {
            return;
        }
        log::info!(
            "{} id={} server={} epoch={} waited={:?}: {result}",
            events::TRY_FAILED,
            self.request_id,
            server.entry.name,
            self.epoch(),
            self.elapsed()
        );
    }
}

/// Logs a request that is dropped before it has a response, with the attempt in progress.
struct AbandonmentLog<'a> {
    state: &'a TrafficState,
    request_id: &'a str,
    started: Time,
    is_abandoned: bool,
}

impl Drop for AbandonmentLog<'_> {
    fn drop(&mut self) {
        if self.is_abandoned {
            log::info!(
                "{} id={} waited={:?}: the connection of its client has closed",
                events::TRY_FAILED,
                self.request_id,
                self.state.clock.now() - self.started
            );
        }
    }
}

/// Whether clients take the status to mean that the request has not run and will not run.
fn means_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
