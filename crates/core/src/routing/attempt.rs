//! State machine of all attempts of one request.

use {
    super::{
        AttemptNo, Backoff, BudgetConfig, ConnectionPolicy, Event, ExchangeStage, FailureReason,
        LocalResponse, RetryBudget, SendAttempt, Step,
    },
    crate::time::Time,
    std::time::Duration,
};

/// Upper bound of a request's attempts, hedges included.
pub const ATTEMPTS_MAX: u32 = 3;
/// Least time left for which an attempt is started.
const ATTEMPT_TIME_MIN: Duration = Duration::from_millis(5);
/// `Retry-After` when a server is unreachable or a connection was lost.
const RECONNECT_DELAY: Duration = Duration::from_secs(1);

/// Whether a request's body can be sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestBody {
    /// There is no body, or all of it is buffered.
    Buffered,
    /// The body is streamed from the client. It can be sent again only while no part of
    /// it has been read.
    Streamed,
}

/// Properties that determine how a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestKind {
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the body can be sent again.
    pub body: RequestBody,
    /// Time at which the client stops waiting.
    pub deadline: Time,
}

/// Retry budget and backoff that the requests of one service share on one traffic thread.
#[derive(Debug)]
pub struct RetryPolicy {
    /// Budget that bounds the load of retries and hedges.
    pub budget: RetryBudget,
    /// Delays before retries.
    pub backoff: Backoff,
}

impl RetryPolicy {
    /// Creates a full budget, and a backoff with jitter from `seed`.
    pub fn new(config: BudgetConfig, seed: u64) -> Self {
        Self {
            budget: RetryBudget::new(config),
            backoff: Backoff::new(seed),
        }
    }
}

/// State machine that decides each step of one request.
///
/// A request that is not idempotent has at most one attempt open at a time. It gets
/// another one only after it is certain that the last one did not run.
///
/// ```
/// use citron_core::{routing::*, time::Time};
/// let mut policy = RetryPolicy::new(BudgetConfig::STANDARD, 7);
/// let deadline = Time::from_micros(1_000_000);
/// let kind = RequestKind { idempotent: false, body: RequestBody::Buffered, deadline };
/// let mut state = RetryState::new(kind, &mut policy);
/// let Step::Send(send) = state.step(Event::Admitted, Time::ZERO, &mut policy) else { panic!() };
/// let lost = Event::Lost(send.no, ExchangeStage::Written);
/// let Step::Answer(response) = state.step(lost, Time::ZERO, &mut policy) else { panic!() };
/// assert_eq!((response.status, response.outcome, response.retry_after), (502, Outcome::Unknown, None));
/// ```
#[derive(Debug)]
pub struct RetryState {
    kind: RequestKind,
    attempts: u32,
    open_attempts: Vec<AttemptNo>,
    is_body_consumed: bool,
    may_have_run: bool,
    answered: Option<AttemptNo>,
    is_ended: bool,
}

/// A failed attempt.
struct Failure {
    no: AttemptNo,
    reason: FailureReason,
    is_unsent: bool,
    wait: Option<Duration>,
    reroute: bool,
}

impl RetryState {
    /// Creates the state of a new request, and counts the request for the retry budget.
    pub fn new(kind: RequestKind, policy: &mut RetryPolicy) -> Self {
        policy.budget.deposit();
        Self {
            kind,
            attempts: 0,
            open_attempts: Vec::new(),
            is_body_consumed: false,
            may_have_run: false,
            answered: None,
            is_ended: false,
        }
    }

    /// Handles an event and returns what to do next.
    pub fn step(&mut self, event: Event, now: Time, policy: &mut RetryPolicy) -> Step {
        if self.is_ended {
            return Step::Wait;
        }
        match event {
            Event::Admitted => self.send(Duration::ZERO, self.first_connection(), false, now),
            Event::Denied { reason, wait } => self.on_denied(reason, wait),
            Event::BodyStarted => self.on_body_started(),
            Event::HedgeDue => self.on_hedge_due(now, policy),
            Event::ClientDisconnected => self.end(Step::Drop),
            Event::Answered(no) => self.on_answered(no),
            Event::Truncated(no) => self.finish_response(no, Step::Abort),
            Event::Completed(no) => self.finish_response(no, Step::Done),
            Event::Lost(no, _) | Event::TimedOut(no, _) if self.answered == Some(no) => {
                self.end(Step::Abort)
            }
            Event::Lost(no, stage) => self.on_failure(lost(no, stage), now, policy),
            Event::TimedOut(no, stage) => self.on_failure(timed_out(no, stage), now, policy),
            Event::Refused { no, wait } => self.on_failure(refused(no, wait), now, policy),
            Event::Fenced(no) => self.on_failure(unrouted(no, FailureReason::NoOwner), now, policy),
            Event::Unconfirmed(no) => {
                self.on_failure(unrouted(no, FailureReason::Unconfirmed), now, policy)
            }
        }
    }

    /// Whether a hedge may be sent. To be checked before the hedge timer is armed.
    pub fn can_hedge(&self) -> bool {
        self.kind.idempotent && self.can_resend_body() && self.attempts < ATTEMPTS_MAX
    }

    /// Number of attempts started so far.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    fn first_connection(&self) -> ConnectionPolicy {
        // An idle connection may be dead without a sign. An idempotent request detects
        // that at the cost of a retry; any other request would end as `unknown`.
        if self.kind.idempotent {
            ConnectionPolicy::Any
        } else {
            ConnectionPolicy::Trusted
        }
    }

    fn can_resend_body(&self) -> bool {
        self.kind.body == RequestBody::Buffered || !self.is_body_consumed
    }

    fn on_body_started(&mut self) -> Step {
        self.is_body_consumed = true;
        Step::Wait
    }

    fn send(
        &mut self,
        delay: Duration,
        connection: ConnectionPolicy,
        reroute: bool,
        now: Time,
    ) -> Step {
        self.attempts += 1;
        let no = AttemptNo(self.attempts);
        self.open_attempts.push(no);
        let timeout = self.kind.deadline - (now + delay);
        Step::Send(SendAttempt {
            no,
            delay,
            timeout,
            connection,
            reroute,
        })
    }

    /// The latest attempt was not started and cannot have run; other open attempts
    /// continue.
    fn on_denied(&mut self, reason: FailureReason, wait: Duration) -> Step {
        self.open_attempts.pop();
        if self.open_attempts.is_empty() {
            return self.give_up(reason, Some(wait));
        }
        Step::Wait
    }

    fn on_hedge_due(&mut self, now: Time, policy: &mut RetryPolicy) -> Step {
        let is_single = self.open_attempts.len() == 1 && self.answered.is_none();
        let has_time = self.kind.deadline - now >= ATTEMPT_TIME_MIN;
        if is_single && has_time && self.can_hedge() && policy.budget.take() {
            return self.send(Duration::ZERO, ConnectionPolicy::New, false, now);
        }
        Step::Wait
    }

    fn on_answered(&mut self, no: AttemptNo) -> Step {
        if self.answered.is_some() || !self.open_attempts.contains(&no) {
            return Step::Wait;
        }
        self.answered = Some(no);
        Step::Forward(no)
    }

    fn finish_response(&mut self, no: AttemptNo, step: Step) -> Step {
        if self.answered != Some(no) {
            return Step::Wait;
        }
        self.end(step)
    }

    fn on_failure(&mut self, failure: Failure, now: Time, policy: &mut RetryPolicy) -> Step {
        let before = self.open_attempts.len();
        self.open_attempts.retain(|no| *no != failure.no);
        if self.open_attempts.len() == before || self.answered.is_some() {
            return Step::Wait;
        }
        self.may_have_run |= !failure.is_unsent;
        if !self.open_attempts.is_empty() {
            return Step::Wait;
        }
        if !self.may_retry(&failure) {
            return self.give_up(failure.reason, failure.wait);
        }
        let wait = failure.wait.unwrap_or_default();
        let delay = policy.backoff.delay(self.attempts).max(wait);
        let is_late = now + delay + ATTEMPT_TIME_MIN > self.kind.deadline;
        // A refused route puts no load on the server; other retries draw on the budget.
        if is_late || !(failure.reroute || policy.budget.take()) {
            return self.give_up(failure.reason, failure.wait);
        }
        self.send(delay, ConnectionPolicy::New, failure.reroute, now)
    }

    /// Whether a retry is safe: a request that is not idempotent must not run twice.
    fn may_retry(&self, failure: &Failure) -> bool {
        let is_safe = self.kind.idempotent || failure.is_unsent;
        is_safe && self.can_resend_body() && self.attempts < ATTEMPTS_MAX
    }

    fn give_up(&mut self, reason: FailureReason, wait: Option<Duration>) -> Step {
        let wait = wait.unwrap_or(RECONNECT_DELAY);
        let response = if self.may_have_run {
            LocalResponse::unknown(reason, self.kind.idempotent, wait)
        } else {
            LocalResponse::not_run(reason, wait)
        };
        self.end(Step::Answer(response))
    }

    fn end(&mut self, step: Step) -> Step {
        self.is_ended = true;
        self.open_attempts.clear();
        step
    }
}

fn lost(no: AttemptNo, stage: ExchangeStage) -> Failure {
    let is_unreachable = stage == ExchangeStage::Unconnected;
    let reason = if is_unreachable {
        FailureReason::Unreachable
    } else {
        FailureReason::ConnectionLost
    };
    Failure {
        no,
        reason,
        is_unsent: stage.is_unsent(),
        wait: None,
        reroute: false,
    }
}

fn timed_out(no: AttemptNo, stage: ExchangeStage) -> Failure {
    Failure {
        reason: FailureReason::TimedOut,
        ..lost(no, stage)
    }
}

fn refused(no: AttemptNo, wait: Option<Duration>) -> Failure {
    Failure {
        no,
        reason: FailureReason::Refused,
        is_unsent: true,
        wait,
        reroute: false,
    }
}

fn unrouted(no: AttemptNo, reason: FailureReason) -> Failure {
    Failure {
        no,
        reason,
        is_unsent: true,
        wait: None,
        reroute: true,
    }
}
