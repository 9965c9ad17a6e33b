//! All the tries of one request.

use {
    super::{
        Backoff, BudgetConfig, Event, Link, Point, Reason, RetryBudget, Send, Step, Try, Verdict,
    },
    crate::time::Time,
    std::time::Duration,
};

/// Exchanges that one request may cause, hedges included.
pub const TRIES_MAX: u32 = 3;
/// A try with less time than this left is not begun.
const TRY_LEAST: Duration = Duration::from_millis(5);
/// `Retry-After` for a server that is gone or lost a connection.
const RECONNECT: Duration = Duration::from_secs(1);

/// Whether the body can be sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestBody {
    /// There is none, or it is kept whole.
    Kept,
    /// It is streamed from the caller and can be sent again only if nothing was
    /// taken from the caller yet.
    Streamed,
}

/// What decides how a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestKind {
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether its body can be sent again.
    pub body: RequestBody,
    /// When the caller stops waiting.
    pub deadline: Time,
}

/// What the requests of one service share on one traffic thread.
#[derive(Debug)]
pub struct Retries {
    /// How much retries and hedges may add to the load.
    pub budget: RetryBudget,
    /// The waits before retries.
    pub backoff: Backoff,
}

impl Retries {
    /// A full budget, and jitter from a seed.
    pub fn new(config: BudgetConfig, seed: u64) -> Self {
        Self {
            budget: RetryBudget::new(config),
            backoff: Backoff::new(seed),
        }
    }
}

/// Decides each step of one request.
///
/// A request that is not idempotent has at most one exchange open at a time, and
/// gets another one only after it is certain that the last was not run.
///
/// ```
/// use citron_core::{routing::*, time::Time};
/// let mut retries = Retries::new(BudgetConfig::STANDARD, 7);
/// let deadline = Time::from_micros(1_000_000);
/// let kind = RequestKind { idempotent: false, body: RequestBody::Kept, deadline };
/// let mut attempt = Attempt::new(kind, &mut retries);
/// let Step::Send(send) = attempt.step(Event::Admitted, Time::ZERO, &mut retries) else { panic!() };
/// let lost = Event::Lost(send.no, Point::Written);
/// let Step::Answer(verdict) = attempt.step(lost, Time::ZERO, &mut retries) else { panic!() };
/// assert_eq!((verdict.status, verdict.outcome, verdict.retry), (502, Outcome::Unknown, None));
/// ```
#[derive(Debug)]
pub struct Attempt {
    kind: RequestKind,
    begun: u32,
    open: Vec<Try>,
    consumed: bool,
    doubt: bool,
    answered: Option<Try>,
    ended: bool,
}

/// A try that came to nothing.
struct Failure {
    no: Try,
    reason: Reason,
    clean: bool,
    wait: Option<Duration>,
    reroute: bool,
}

impl Attempt {
    /// A request that was just read; it counts for the retry budget.
    pub fn new(kind: RequestKind, retries: &mut Retries) -> Self {
        retries.budget.deposit();
        Self {
            kind,
            begun: 0,
            open: Vec::new(),
            consumed: false,
            doubt: false,
            answered: None,
            ended: false,
        }
    }

    /// What to do after an event.
    pub fn step(&mut self, event: Event, now: Time, retries: &mut Retries) -> Step {
        if self.ended {
            return Step::Wait;
        }
        match event {
            Event::Admitted => self.send(Duration::ZERO, self.first_link(), false, now),
            Event::Denied { reason, wait } => self.denied(reason, wait),
            Event::BodyBegun => self.body_begun(),
            Event::HedgeDue => self.hedge(now, retries),
            Event::CallerLeft => self.end(Step::Drop),
            Event::Answered(no) => self.answer(no),
            Event::Cut(no) => self.after_head(no, Step::Abort),
            Event::Completed(no) => self.after_head(no, Step::Done),
            Event::Lost(no, _) | Event::TimedOut(no, _) if self.answered == Some(no) => {
                self.end(Step::Abort)
            }
            Event::Lost(no, point) => self.failed(lost(no, point), now, retries),
            Event::TimedOut(no, point) => self.failed(timed_out(no, point), now, retries),
            Event::Refused { no, wait } => self.failed(refused(no, wait), now, retries),
            Event::Fenced(no) => self.failed(unrouted(no, Reason::NoOwner), now, retries),
            Event::Withheld(no) => self.failed(unrouted(no, Reason::Unconfirmed), now, retries),
        }
    }

    /// Whether a hedge makes sense: the caller of the timer asks before arming it.
    pub fn can_hedge(&self) -> bool {
        self.kind.idempotent && self.can_replay() && self.begun < TRIES_MAX
    }

    /// Exchanges begun so far.
    pub fn tries(&self) -> u32 {
        self.begun
    }

    fn first_link(&self) -> Link {
        // A kept connection may have gone silent without a sign. An idempotent
        // request finds that out at the cost of a retry; one that is not
        // idempotent would end as `unknown`.
        if self.kind.idempotent {
            Link::Any
        } else {
            Link::Trusted
        }
    }

    fn can_replay(&self) -> bool {
        self.kind.body == RequestBody::Kept || !self.consumed
    }

    fn body_begun(&mut self) -> Step {
        self.consumed = true;
        Step::Wait
    }

    fn send(&mut self, after: Duration, link: Link, reroute: bool, now: Time) -> Step {
        self.begun += 1;
        let no = Try(self.begun);
        self.open.push(no);
        let limit = self.kind.deadline - (now + after);
        Step::Send(Send {
            no,
            after,
            limit,
            link,
            reroute,
        })
    }

    /// The last try was not begun, so that it leaves no doubt; others stay open.
    fn denied(&mut self, reason: Reason, wait: Duration) -> Step {
        self.open.pop();
        if self.open.is_empty() {
            return self.give_up(reason, Some(wait));
        }
        Step::Wait
    }

    fn hedge(&mut self, now: Time, retries: &mut Retries) -> Step {
        let one = self.open.len() == 1 && self.answered.is_none();
        let time = self.kind.deadline - now >= TRY_LEAST;
        if one && time && self.can_hedge() && retries.budget.take() {
            return self.send(Duration::ZERO, Link::New, false, now);
        }
        Step::Wait
    }

    fn answer(&mut self, no: Try) -> Step {
        if self.answered.is_some() || !self.open.contains(&no) {
            return Step::Wait;
        }
        self.answered = Some(no);
        Step::Forward(no)
    }

    fn after_head(&mut self, no: Try, step: Step) -> Step {
        if self.answered != Some(no) {
            return Step::Wait;
        }
        self.end(step)
    }

    fn failed(&mut self, failure: Failure, now: Time, retries: &mut Retries) -> Step {
        let before = self.open.len();
        self.open.retain(|no| *no != failure.no);
        if self.open.len() == before || self.answered.is_some() {
            return Step::Wait;
        }
        self.doubt |= !failure.clean;
        if !self.open.is_empty() {
            return Step::Wait;
        }
        if !self.may_retry(&failure) {
            return self.give_up(failure.reason, failure.wait);
        }
        let wait = failure.wait.unwrap_or_default();
        let after = retries.backoff.wait(self.begun).max(wait);
        let late = now + after + TRY_LEAST > self.kind.deadline;
        // A refused route puts no load on the server; the others draw on the budget.
        if late || !(failure.reroute || retries.budget.take()) {
            return self.give_up(failure.reason, failure.wait);
        }
        self.send(after, Link::New, failure.reroute, now)
    }

    /// The rule that keeps a request that is not idempotent from running twice.
    fn may_retry(&self, failure: &Failure) -> bool {
        let safe = self.kind.idempotent || failure.clean;
        safe && self.can_replay() && self.begun < TRIES_MAX
    }

    fn give_up(&mut self, reason: Reason, wait: Option<Duration>) -> Step {
        let wait = wait.unwrap_or(RECONNECT);
        let verdict = if self.doubt {
            Verdict::unknown(reason, self.kind.idempotent, wait)
        } else {
            Verdict::not_run(reason, wait)
        };
        self.end(Step::Answer(verdict))
    }

    fn end(&mut self, step: Step) -> Step {
        self.ended = true;
        self.open.clear();
        step
    }
}

fn lost(no: Try, point: Point) -> Failure {
    let unreachable = point == Point::Unconnected;
    let reason = if unreachable {
        Reason::Unreachable
    } else {
        Reason::Lost
    };
    Failure {
        no,
        reason,
        clean: point.is_clean(),
        wait: None,
        reroute: false,
    }
}

fn timed_out(no: Try, point: Point) -> Failure {
    Failure {
        reason: Reason::TimedOut,
        ..lost(no, point)
    }
}

fn refused(no: Try, wait: Option<Duration>) -> Failure {
    Failure {
        no,
        reason: Reason::Refused,
        clean: true,
        wait,
        reroute: false,
    }
}

fn unrouted(no: Try, reason: Reason) -> Failure {
    Failure {
        no,
        reason,
        clean: true,
        wait: None,
        reroute: true,
    }
}
