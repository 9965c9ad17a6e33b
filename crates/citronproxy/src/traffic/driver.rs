//! One request, from its head to the head of its answer.

use {
    super::{
        attempts::{Answered, Ended, Tries},
        crash_log::CrashNote,
        limiters::{Denied, Slot},
        local_response::{from_verdict, mark, own},
        request::strip_hop_by_hop,
        response_body::{AnswerBody, Streamed},
    },
    citron_core::{
        admission::ReleaseReason,
        id::ServiceName,
        routing::{
            AttemptNo, Event, FailureReason, Outcome, RequestBody, RequestKind, RetryState, Step,
        },
    },
    futures::stream::{FuturesUnordered, StreamExt},
    http::{Response, StatusCode},
    std::time::Duration,
    tokio::time::sleep,
};

/// When an idempotent request on a connection that was used before is sent again
/// on a new one, at the latest: the old one may have gone silent.
const SILENT_TIME: Duration = Duration::from_secs(1);

/// Drives a request by what core decides.
#[derive(Debug)]
pub struct Call<'a> {
    tries: &'a Tries,
    service: &'a ServiceName,
    attempt: RetryState,
    answer: Option<Box<Answered>>,
    slot: Option<Slot>,
}

impl<'a> Call<'a> {
    /// A request of a service.
    pub fn new(tries: &'a Tries, service: &'a ServiceName, idempotent: bool) -> Self {
        let body = match tries.source.whole() {
            true => RequestBody::Buffered,
            false => RequestBody::Streamed,
        };
        let kind = RequestKind {
            idempotent,
            body,
            deadline: tries.deadline,
        };
        let new = |retries: &mut _| RetryState::new(kind, retries);
        Self {
            attempt: tries.state.with_retries(service, new),
            tries,
            service,
            answer: None,
            slot: None,
        }
    }

    /// Runs it to the head of the answer; tells how many tries it took. Dropping
    /// the future, as when the caller leaves, ends all its exchanges with their
    /// connections.
    pub async fn run(mut self) -> (Response<AnswerBody>, u32) {
        let answer = self.drive().await;
        (answer, self.attempt.attempts())
    }

    async fn drive(&mut self) -> Response<AnswerBody> {
        let tries = self.tries;
        let mut open = FuturesUnordered::new();
        let admitted = self.admit().await;
        let mut step = self.step(admitted);
        loop {
            match step {
                Step::Send(send) => match self.quarantined() {
                    Some(denied) => {
                        step = self.step(denied);
                        continue;
                    }
                    None => open.push(tries.run(send)),
                },
                Step::Forward(no) => return self.forward(no),
                Step::Answer(verdict) => return from_verdict(&verdict),
                Step::Wait => {}
                Step::Abort | Step::Done | Step::Drop => return broken(),
            }
            let hedge = self.may_hedge(open.len());
            let event = tokio::select! {
                biased;
                Some(ended) = open.next() => self.event(ended),
                () = hedge_due(tries), if hedge => Event::HedgeDue,
                else => return broken(),
            };
            if self.answer.is_none()
                && let Some(answer) = self.bad_body(event)
            {
                return answer;
            }
            self.note_crash(event);
            step = self.step(event);
        }
    }

    async fn admit(&mut self) -> Event {
        if self.tries.state.crashes.noted() {
            self.tries.source.fill().await;
        }
        if let Some(denied) = self.quarantined() {
            return denied;
        }
        match self.tries.admit().await {
            Ok(slot) => {
                self.slot = slot;
                Event::Admitted
            }
            Err(Denied { reason, wait }) => Event::Denied { reason, wait },
        }
    }

    /// The refusal of a request like those that crashed servers: sent on, it
    /// would take down one server after the other.
    fn quarantined(&self) -> Option<Event> {
        let crashes = &self.tries.state.crashes;
        if !crashes.noted() {
            return None;
        }
        let wait = crashes.refused(self.tries.fingerprint())?;
        let reason = FailureReason::Quarantined;
        Some(Event::Denied { reason, wait })
    }

    /// Clears crashes of such requests. All other threads are told, under a lock:
    /// requests that crashed nothing must not pay for that.
    fn note_answer(&self) {
        let state = &self.tries.state;
        if !state.crashes.noted() {
            return;
        }
        let print = self.tries.fingerprint();
        if state.crashes.knows(print) {
            state.handle.note_crash(&CrashNote::Answered(print));
        }
    }

    /// Notes a connection that died while the server had the request.
    fn note_crash(&self, event: Event) {
        let tries = self.tries;
        if let Event::Lost(_, point) = event
            && !point.is_unsent()
            && let Some(server) = tries.server.borrow().clone()
        {
            tries.state.handle.note_crash(&CrashNote::Crashed {
                print: tries.fingerprint(),
                label: format!("{} {}", tries.head.method, tries.head.uri),
                server: server.name.clone(),
            });
        }
    }

    fn step(&mut self, event: Event) -> Step {
        let state = &self.tries.state;
        let now = state.clock.now();
        let consumed = !self.tries.source.replayable();
        let attempt = &mut self.attempt;
        state.with_retries(self.service, |retries| {
            if consumed {
                attempt.step(Event::BodyStarted, now, retries);
            }
            attempt.step(event, now, retries)
        })
    }

    fn event(&mut self, ended: Ended) -> Event {
        match ended {
            Ended::Failed(event) => {
                self.note_silence(event);
                self.note_release(event);
                event
            }
            Ended::Answered(answered) => {
                let no = answered.no;
                self.note_answer();
                // The first answer is passed on; a later one ends here.
                self.answer.get_or_insert(answered);
                Event::Answered(no)
            }
        }
    }

    /// Tells the server's gate what a failure says of the server's load.
    fn note_release(&mut self, event: Event) {
        let release = match event {
            Event::Refused { .. } => ReleaseReason::Refused,
            Event::TimedOut(..) => ReleaseReason::TimedOut,
            _ => ReleaseReason::Other,
        };
        if let Some(slot) = &mut self.slot {
            slot.note(release);
        }
    }

    /// Suspects the old connections of a server if a request on one of them got
    /// no bytes until its time was up.
    fn note_silence(&self, event: Event) {
        if let (Event::TimedOut(AttemptNo(1), _), Some((begun, address))) =
            (event, self.tries.reused.get().copied())
        {
            self.tries.state.pool.suspect(address, begun);
        }
    }

    /// Whether the request may be sent once more while a try is open.
    fn may_hedge(&self, open: usize) -> bool {
        // A body that is still being read cannot be read twice.
        let source = &self.tries.source;
        let whole = source.whole() && source.replayable();
        open == 1 && whole && self.attempt.can_hedge()
    }

    fn forward(&mut self, no: AttemptNo) -> Response<AnswerBody> {
        let Some(answered) = self.answer.take() else {
            return broken();
        };
        // A later try overtook the first: its connection, which was used before,
        // may have gone silent together with others of its age.
        if no > AttemptNo(1)
            && let Some((begun, address)) = self.tries.reused.get().copied()
        {
            self.tries.state.pool.suspect(address, begun);
        }
        let (mut head, body) = answered.response.into_parts();
        strip_hop_by_hop(&mut head.headers);
        let streamed = Streamed::new(body, answered.exchange, self.slot.take());
        let mut answer = Response::from_parts(head, AnswerBody::Streamed(Box::new(streamed)));
        mark(&mut answer, Outcome::Ran);
        answer
    }

    /// The answer to a caller whose body cannot be passed on whole.
    fn bad_body(&self, event: Event) -> Option<Response<AnswerBody>> {
        let (status, reason) = if self.tries.source.too_large() {
            (StatusCode::PAYLOAD_TOO_LARGE, "the body is too large")
        } else if self.tries.source.cut() {
            (
                StatusCode::BAD_REQUEST,
                "the body is malformed or cut short",
            )
        } else {
            return None;
        };
        // Once a part is with the server, nobody knows what it makes of it.
        let clean = matches!(event, Event::Lost(AttemptNo(1), point) if point.is_unsent());
        let outcome = if clean {
            Outcome::NotRun
        } else {
            Outcome::Unknown
        };
        Some(own(status, outcome, None, reason))
    }
}

/// Resolves when a try on a connection that was used before should have its
/// answer by all experience, or has received nothing for too long.
async fn hedge_due(tries: &Tries) {
    let (begun, address) = tries.reused().await;
    let state = &tries.state;
    let due = state.hedge_due(address).unwrap_or(SILENT_TIME);
    let spent: Duration = state.clock.now() - begun;
    sleep(due.saturating_sub(spent)).await;
}

fn broken() -> Response<AnswerBody> {
    let reason = "the request came to no end";
    own(
        StatusCode::INTERNAL_SERVER_ERROR,
        Outcome::Unknown,
        None,
        reason,
    )
}
