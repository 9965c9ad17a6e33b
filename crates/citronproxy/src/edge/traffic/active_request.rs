//! One request, from its head to its answer.

use {
    super::{
        attempt::{AttemptResult, Message, send},
        crash,
        response::{AnswerBody, own, reject_with_retry},
        target::{StaleOwner, Target, TargetQuery, select_target},
        thread::Front,
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
const ROOM_PART: u32 = 8;
/// How often room is looked for, besides whenever a request ends here: others'
/// loads come with their heartbeats.
const ROOM_LOOK: Duration = Duration::from_millis(25);
/// Retry-After for a key that is moving or has no owner.
const MOVE_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Retry-After for a request that servers have rejected.
const REJECTED_RETRY_AFTER: Duration = Duration::from_millis(200);
/// The same for servers that reject nearly everything.
const REJECTED_RETRY_MOST: Duration = Duration::from_secs(3);
/// Jitter of Retry-After: callers rejected together would return together.
const RETRY_JITTER: Range<f64> = 0.85..1.15;
/// How long a new owner's grant may be behind the map that names it, halved: the
/// planner sends it some milliseconds after the commit.
const GRANT_WAIT: Duration = Duration::from_millis(20);
/// Owners that did not have the key, after which the caller comes back later.
const MISDIRECTED: u32 = 3;
/// Servers that could not be sent a request, after which its caller comes back later.
const UNSENT_MOST: u32 = 4;
/// Less than this is no time for another try.
const TRY_MIN: Duration = Duration::from_millis(60);

/// A request under way.
#[derive(Debug)]
pub struct Call<'a> {
    /// The thread's state.
    pub front: &'a Front,
    /// What the operator set.
    pub rule: &'a RouteRule,
    /// The service that the rule's split gave.
    pub service: &'a ServiceName,
    /// The key.
    pub key: Option<RangeKey>,
    /// What is sent.
    pub message: Message<'a>,
    /// When the request came.
    pub begun: Time,
    /// Its id, for logs.
    pub id: &'a str,
    /// Servers that have had it, or could not be reached.
    pub tried: Vec<ServerName>,
    /// How many of them could not: they count as no tries.
    pub unsent: u32,
    /// The owner that did not have the key.
    pub stale: Option<StaleOwner>,
    /// How often an owner did not.
    pub misdirected: u32,
    /// Whether one of the tries that have ended may have run.
    pub doubtful: bool,
    /// How often it was sent.
    pub sent: u32,
    /// What its caller is told.
    pub outcome: Cell<Outcome>,
}

impl Call<'_> {
    /// Runs it to its answer, or to its deadline.
    pub async fn run(mut self) -> Response<AnswerBody> {
        let left = self.message.deadline - self.front.clock.now();
        let driven = timeout(left, self.drive()).await;
        let answer = driven.unwrap_or_else(|_| self.give_up("the deadline passed"));
        let mut counts = self.front.counts.borrow_mut();
        counts.count_request(self.service, self.outcome.get(), self.sent, self.waited());
        answer
    }

    async fn drive(&mut self) -> Response<AnswerBody> {
        loop {
            let server = match self.next_server().await {
                Ok(server) => server,
                Err(answer) => return answer,
            };
            if let Some(again) = self.quarantined() {
                return self.refuse(again, "requests like it crash servers");
            }
            self.sent += 1;
            let end = send(self.front, &server, &self.message).await;
            self.message.written.set(false);
            self.log_try(&server, &end);
            if let Some(answer) = self.on_attempt_end(server, end) {
                return answer;
            }
        }
    }

    /// Learns from a try; the answer if it is the last one.
    fn on_attempt_end(
        &mut self,
        server: Arc<ServerRecord>,
        end: AttemptResult,
    ) -> Option<Response<AnswerBody>> {
        let name = server.entry.name.clone();
        let retry = match end {
            AttemptResult::Answered(answer) => return self.answered(name, answer),
            AttemptResult::NotSent(_) | AttemptResult::Closed => self.may_try_another(name),
            AttemptResult::Refused => self.may_retry(name),
            AttemptResult::Misdirected => self.may_ask_owner(name),
            AttemptResult::Lost(_) => {
                self.doubtful = true;
                crash::record_crash(self.front, &server.entry, self.print(), &self.message);
                // What may run once only takes nothing from the budget.
                self.message.repeat == Idempotency::Idempotent && self.may_retry(name)
            }
        };
        match retry {
            true => None,
            false => Some(self.give_up("no try is left")),
        }
    }

    /// A server's own failure is asked for again where that does no harm.
    fn answered(
        &mut self,
        server: ServerName,
        answer: Response<AnswerBody>,
    ) -> Option<Response<AnswerBody>> {
        self.doubtful = true;
        let failed = answer.status().is_server_error();
        let mut crashes = self.front.board.crashes();
        if !failed && !crashes.is_empty() {
            crashes.record_answer(self.print(), self.front.clock.now());
        }
        drop(crashes);
        if failed && self.message.repeat == Idempotency::Idempotent && self.may_retry(server) {
            return None;
        }
        Some(match is_promise(answer.status()) {
            // Without the server's word these would promise what nobody knows.
            true => self.unknown("the server failed"),
            false => answer,
        })
    }

    /// What the same request sent again has in common with this one.
    fn print(&self) -> Fingerprint {
        let head = self.message.head;
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let body = self.message.source.buffered();
        Fingerprint::from_parts(&[head.method.as_str().as_bytes(), path.as_bytes(), &body])
    }

    /// How much longer requests like this one are kept from servers.
    fn quarantined(&self) -> Option<Duration> {
        let crashes = self.front.board.crashes();
        if crashes.is_empty() {
            return None;
        }
        crashes.refused_for(self.print(), self.front.clock.now())
    }

    /// Counts a try, and takes another from the budget.
    fn may_retry(&mut self, server: ServerName) -> bool {
        self.tried.push(server);
        let had = self.tried.len() - self.unsent as usize;
        had < self.tries() && self.has_time() && self.front.take_retry(self.service)
    }

    /// Whether another server is asked after one that the request did not reach. It
    /// costs the service nothing, and takes nothing from the budget.
    fn may_try_another(&mut self, unreached: ServerName) -> bool {
        self.tried.push(unreached);
        self.unsent += 1;
        self.unsent < UNSENT_MOST && self.has_time()
    }

    fn has_time(&self) -> bool {
        self.message.deadline - self.front.clock.now() > TRY_MIN
    }

    /// Whether an owner is asked again after one that did not have the key. It has
    /// not run, and does not count as one of the tries: a move takes a release, a
    /// commit and a grant, and each of them may be overtaken by a request.
    fn may_ask_owner(&mut self, owner: ServerName) -> bool {
        self.misdirected += 1;
        let now = self.front.clock.now();
        // In the end only news of another owner helps.
        let until = match self.misdirected <= MISDIRECTED {
            true => now + GRANT_WAIT * (1 << self.misdirected.min(4)),
            false => self.message.deadline,
        };
        self.stale = Some(StaleOwner {
            owner,
            epoch: self.epoch(),
            until,
        });
        let asks = self.misdirected <= MISDIRECTED + 1 && self.has_time();
        asks && self.front.take_retry(self.service)
    }

    fn tries(&self) -> usize {
        self.rule.max_attempts as usize
    }

    fn epoch(&self) -> Epoch {
        self.slice().map_or(Epoch(0), |slice| slice.epoch)
    }

    /// The owner of the key, for logs; `-` if there is none.
    fn owner(&self) -> String {
        let owner = self.slice().and_then(|slice| slice.owner);
        owner.map_or("-".to_string(), |owner| owner.to_string())
    }

    fn slice(&self) -> Option<Slice> {
        let view = self.front.board.view()?;
        let map = view.maps.get(self.service)?;
        map.slice(self.key?).cloned()
    }

    /// Waits for a server with room.
    async fn next_server(&self) -> Result<Arc<ServerRecord>, Response<AnswerBody>> {
        let front = self.front;
        let mut published = front.board.subscribe_views();
        loop {
            published.borrow_and_update();
            let Some(view) = front.board.view() else {
                return Err(self.refuse(MOVE_RETRY_AFTER, "no configuration is known"));
            };
            let room = front.room.notified();
            match self.find(&view) {
                Target::Server(server) => return Ok(server),
                Target::Reject(retry_after, overload) => {
                    if self.waited() > self.rule.latency_objective / ROOM_PART {
                        self.note_rejected();
                        return Err(self.refuse(retry_after, &overload.to_string()));
                    }
                    let _ = timeout(ROOM_LOOK, room).await;
                }
                Target::Moving => {
                    if self.waited() > self.move_patience() {
                        return Err(self.refuse(MOVE_RETRY_AFTER, "the key is changing hands"));
                    }
                    tokio::select! {
                        _ = published.changed() => {}
                        () = sleep(ROOM_LOOK) => {}
                    }
                }
                Target::None => {
                    if self.waited() > self.rule.latency_objective / ROOM_PART {
                        return Err(self.refuse(MOVE_RETRY_AFTER, "no server is there"));
                    }
                    let _ = timeout(ROOM_LOOK, published.changed()).await;
                }
            }
        }
    }

    /// Notes that the owner had no room.
    fn note_rejected(&self) {
        let owner = self.slice().and_then(|slice| slice.owner);
        if let Some(owner) = owner {
            self.front.board.loads().record_rejection(&owner);
        }
    }

    fn find(&self, view: &Arc<View>) -> Target {
        let query = TargetQuery {
            service: self.service,
            key: self.key,
            objective: self.message.objective,
            deadline: self.message.deadline,
            repeat: self.message.repeat,
            tried: &self.tried,
            stale: self.stale.as_ref(),
        };
        select_target(self.front, view, &query)
    }

    /// Whether it may be running, or have run.
    fn may_have_run(&self) -> bool {
        self.doubtful || self.message.written.get()
    }

    fn waited(&self) -> Duration {
        self.front.clock.now() - self.begun
    }

    /// A move takes about as long as the requests on its keys, so that most who
    /// wait for one are still answered within their objective.
    fn move_patience(&self) -> Duration {
        self.rule.latency_objective.mul_f64(0.8)
    }

    /// Not run, and never will be.
    fn refuse(&self, again: Duration, reason: &str) -> Response<AnswerBody> {
        if self.may_have_run() {
            return self.give_up(reason);
        }
        self.outcome.set(Outcome::NotRun);
        log::info!(
            "{} id={} route={} service={} server={} waited={:?} tried={} {} again={again:?}: {reason}",
            events::REQUEST_REFUSED,
            self.id,
            self.rule.name,
            self.service,
            self.owner(),
            self.waited(),
            self.tried.len(),
            self.front.ages()
        );
        reject_with_retry(again, reason)
    }

    /// When a caller comes back that servers have refused.
    fn refused_again(&self) -> Duration {
        let loads = self.front.board.loads();
        let last = self.tried.last();
        let callers = last.map_or(1.0, |last| loads.get(last).clients_per_admission());
        let spread = rand::rng().random_range(RETRY_JITTER);
        let again = REJECTED_RETRY_AFTER.mul_f64(callers * spread);
        again.min(REJECTED_RETRY_MOST)
    }

    fn give_up(&self, reason: &str) -> Response<AnswerBody> {
        if !self.may_have_run() {
            return self.refuse(self.refused_again(), reason);
        }
        self.outcome.set(Outcome::Unknown);
        self.unknown(reason)
    }

    /// Told to the caller of a request that may have run.
    fn unknown(&self, reason: &str) -> Response<AnswerBody> {
        log::info!(
            "{} id={} route={} service={} server={} waited={:?} tried={} {}: {reason}",
            events::REQUEST_UNKNOWN,
            self.id,
            self.rule.name,
            self.service,
            self.owner(),
            self.waited(),
            self.tried.len(),
            self.front.ages()
        );
        let late = self.front.clock.now() >= self.message.deadline;
        match late {
            true => own(StatusCode::GATEWAY_TIMEOUT, reason),
            false => own(StatusCode::BAD_GATEWAY, reason),
        }
    }

    fn log_try(&self, server: &ServerRecord, end: &AttemptResult) {
        if let AttemptResult::Answered(answer) = end
            && !answer.status().is_server_error()
        {
            return;
        }
        log::info!(
            "{} id={} server={} epoch={} waited={:?}: {end}",
            events::TRY_FAILED,
            self.id,
            server.entry.name,
            self.epoch(),
            self.waited()
        );
    }
}

/// Statuses that say: not run, and never will be.
fn is_promise(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
