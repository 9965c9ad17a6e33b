//! One request, from its head to its answer.

use {
    super::{
        attempt::{AttemptResult, OutgoingRequest, send},
        crash,
        response::{ResponseBody, local_response, not_run_response},
        target::{StaleOwner, Target, TargetQuery, select_target},
        thread::TrafficState,
    },
    crate::{edge::view::View, events},
    citron_core::{
        crash::Fingerprint,
        id::{Epoch, ServerName, ServiceName},
        ranges::{RangeKey, Slice},
        registry::ServerRecord,
        routes::{Idempotency, RouteRule},
        routing::Outcome,
        time::Time,
    },
    http::{Response, StatusCode},
    rand::Rng,
    std::{cell::Cell, ops::Range, sync::Arc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Longest wait for a free slot before rejecting, as a fraction of the objective.
const CAPACITY_WAIT_DIVISOR: u32 = 8;
/// How often room is looked for, besides whenever a request ends here: others'
/// loads come with their heartbeats.
const RECHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Retry-After for a key that is moving or has no owner.
const MOVE_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Retry-After for a request that servers have rejected.
const REJECTED_RETRY_AFTER: Duration = Duration::from_millis(200);
/// The same for servers that reject nearly everything.
const REJECTED_RETRY_AFTER_MAX: Duration = Duration::from_secs(3);
/// Jitter of Retry-After: callers rejected together would return together.
const RETRY_JITTER: Range<f64> = 0.85..1.15;
/// How long a new owner's grant may be behind the map that names it, halved: the
/// planner sends it some milliseconds after the commit.
const GRANT_DELAY: Duration = Duration::from_millis(20);
/// Owners that did not have the key, after which the caller comes back later.
const MISDIRECTED_MAX: u32 = 3;
/// Servers that could not be sent a request, after which its caller comes back later.
const UNSENT_MAX: u32 = 4;
/// Less than this is no time for another try.
const RETRY_TIME_MIN: Duration = Duration::from_millis(60);

/// A request under way.
#[derive(Debug)]
pub struct ActiveRequest<'a> {
    /// The thread's state.
    pub state: &'a TrafficState,
    /// What the operator set.
    pub rule: &'a RouteRule,
    /// The service that the rule's split gave.
    pub service: &'a ServiceName,
    /// The key.
    pub key: Option<RangeKey>,
    /// What is sent.
    pub request: OutgoingRequest<'a>,
    /// When the request came.
    pub started: Time,
    /// Its id, for logs.
    pub request_id: &'a str,
    /// Servers that have had it, or could not be reached.
    pub tried: Vec<ServerName>,
    /// How many of them could not: they count as no tries.
    pub unsent: u32,
    /// The owner that did not have the key.
    pub stale_owner: Option<StaleOwner>,
    /// How often an owner did not.
    pub misdirected: u32,
    /// Whether one of the tries that have ended may have run.
    pub has_uncertain_attempt: bool,
    /// How often it was sent.
    pub attempts: u32,
    /// What its caller is told.
    pub outcome: Cell<Outcome>,
}

impl ActiveRequest<'_> {
    /// Runs it to its answer, or to its deadline.
    pub async fn run(mut self) -> Response<ResponseBody> {
        let remaining = self.request.deadline - self.state.clock.now();
        let result = timeout(remaining, self.retry_loop()).await;
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

    async fn retry_loop(&mut self) -> Response<ResponseBody> {
        loop {
            let server = match self.wait_for_server().await {
                Ok(server) => server,
                Err(response) => return response,
            };
            if let Some(retry_after) = self.quarantine_left() {
                return self.refuse(retry_after, "requests like it crash servers");
            }
            self.attempts += 1;
            let result = send(self.state, &server, &self.request).await;
            self.request.may_be_sent.set(false);
            self.log_attempt(&server, &result);
            if let Some(response) = self.on_attempt_end(server, result) {
                return response;
            }
        }
    }

    /// Learns from a try; the answer if it is the last one.
    fn on_attempt_end(
        &mut self,
        server: Arc<ServerRecord>,
        result: AttemptResult,
    ) -> Option<Response<ResponseBody>> {
        let name = server.entry.name.clone();
        let retry = match result {
            AttemptResult::Responded(response) => return self.on_response(name, response),
            AttemptResult::NotSent(_) | AttemptResult::Closed => self.may_try_another(name),
            AttemptResult::Refused => self.may_retry(name),
            AttemptResult::Misdirected => self.may_retry_owner(name),
            AttemptResult::Lost(_) => {
                self.has_uncertain_attempt = true;
                crash::detect_crash(self.state, &server.entry, self.fingerprint(), &self.request);
                // What may run once only takes nothing from the budget.
                self.request.idempotency == Idempotency::Idempotent && self.may_retry(name)
            }
        };
        match retry {
            true => None,
            false => Some(self.give_up("no try is left")),
        }
    }

    /// A server's own failure is asked for again where that does no harm.
    fn on_response(
        &mut self,
        server: ServerName,
        response: Response<ResponseBody>,
    ) -> Option<Response<ResponseBody>> {
        self.has_uncertain_attempt = true;
        let is_failure = response.status().is_server_error();
        let mut crashes = self.state.shared.crashes();
        if !is_failure && !crashes.is_empty() {
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
            // Without the server's word these would promise what nobody knows.
            true => self.respond_unknown("the server failed"),
            false => response,
        })
    }

    /// What the same request sent again has in common with this one.
    fn fingerprint(&self) -> Fingerprint {
        let head = self.request.head;
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let body = self.request.body.buffered();
        Fingerprint::from_parts(&[head.method.as_str().as_bytes(), path.as_bytes(), &body])
    }

    /// How much longer requests like this one are kept from servers.
    fn quarantine_left(&self) -> Option<Duration> {
        let crashes = self.state.shared.crashes();
        if crashes.is_empty() {
            return None;
        }
        crashes.refused_for(self.fingerprint(), self.state.clock.now())
    }

    /// Counts a try, and takes another from the budget.
    fn may_retry(&mut self, server: ServerName) -> bool {
        self.tried.push(server);
        let attempts = self.tried.len() - self.unsent as usize;
        attempts < self.max_attempts() && self.has_time() && self.state.take_retry(self.service)
    }

    /// Whether another server is asked after one that the request did not reach. It
    /// costs the service nothing, and takes nothing from the budget.
    fn may_try_another(&mut self, unreached: ServerName) -> bool {
        self.tried.push(unreached);
        self.unsent += 1;
        self.unsent < UNSENT_MAX && self.has_time()
    }

    fn has_time(&self) -> bool {
        self.request.deadline - self.state.clock.now() > RETRY_TIME_MIN
    }

    /// Whether an owner is asked again after one that did not have the key. It has
    /// not run, and does not count as one of the tries: a move takes a release, a
    /// commit and a grant, and each of them may be overtaken by a request.
    fn may_retry_owner(&mut self, owner: ServerName) -> bool {
        self.misdirected += 1;
        let now = self.state.clock.now();
        // In the end only news of another owner helps.
        let retry_at = match self.misdirected <= MISDIRECTED_MAX {
            true => now + GRANT_DELAY * (1 << self.misdirected.min(4)),
            false => self.request.deadline,
        };
        self.stale_owner = Some(StaleOwner {
            owner,
            epoch: self.epoch(),
            retry_at,
        });
        let may_ask = self.misdirected <= MISDIRECTED_MAX + 1 && self.has_time();
        may_ask && self.state.take_retry(self.service)
    }

    fn max_attempts(&self) -> usize {
        self.rule.max_attempts as usize
    }

    fn epoch(&self) -> Epoch {
        self.slice().map_or(Epoch(0), |slice| slice.epoch)
    }

    /// The owner of the key, for logs; `-` if there is none.
    fn owner_label(&self) -> String {
        let owner = self.slice().and_then(|slice| slice.owner);
        owner.map_or("-".to_string(), |owner| owner.to_string())
    }

    fn slice(&self) -> Option<Slice> {
        let view = self.state.shared.view()?;
        let map = view.maps.get(self.service)?;
        map.slice(self.key?).cloned()
    }

    /// Waits for a server with room.
    async fn wait_for_server(&self) -> Result<Arc<ServerRecord>, Response<ResponseBody>> {
        let state = self.state;
        let mut view_updates = state.shared.subscribe_views();
        loop {
            view_updates.borrow_and_update();
            let Some(view) = state.shared.view() else {
                return Err(self.refuse(MOVE_RETRY_AFTER, "no configuration is known"));
            };
            let capacity_freed = state.capacity_freed.notified();
            match self.select(&view) {
                Target::Server(server) => return Ok(server),
                Target::Reject(retry_after, overload) => {
                    if self.elapsed() > self.rule.latency_objective / CAPACITY_WAIT_DIVISOR {
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

    /// Notes that the owner had no room.
    fn record_owner_rejection(&self) {
        let owner = self.slice().and_then(|slice| slice.owner);
        if let Some(owner) = owner {
            self.state.shared.loads().record_rejection(&owner);
        }
    }

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

    /// Whether it may be running, or have run.
    fn may_have_run(&self) -> bool {
        self.has_uncertain_attempt || self.request.may_be_sent.get()
    }

    fn elapsed(&self) -> Duration {
        self.state.clock.now() - self.started
    }

    /// A move takes about as long as the requests on its keys, so that most who
    /// wait for one are still answered within their objective.
    fn move_wait_max(&self) -> Duration {
        self.rule.latency_objective.mul_f64(0.8)
    }

    /// Not run, and never will be.
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
        not_run_response(retry_after, reason)
    }

    /// When a caller comes back that servers have refused.
    fn rejection_retry_after(&self) -> Duration {
        let loads = self.state.shared.loads();
        let last = self.tried.last();
        let clients = last.map_or(1.0, |last| loads.get(last).clients_per_admission());
        let jitter = rand::rng().random_range(RETRY_JITTER);
        let retry_after = REJECTED_RETRY_AFTER.mul_f64(clients * jitter);
        retry_after.min(REJECTED_RETRY_AFTER_MAX)
    }

    fn give_up(&self, reason: &str) -> Response<ResponseBody> {
        if !self.may_have_run() {
            return self.refuse(self.rejection_retry_after(), reason);
        }
        self.outcome.set(Outcome::Unknown);
        self.respond_unknown(reason)
    }

    /// Told to the caller of a request that may have run.
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

/// Statuses that say: not run, and never will be.
fn means_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
