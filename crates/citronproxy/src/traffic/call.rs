//! One request, from its head to the head of its answer.

use {
    super::{
        answer::{from_verdict, mark, own},
        body::{AnswerBody, Streamed},
        request::strip_hop_by_hop,
        tries::{Answered, Ended, Tries},
    },
    citron_core::{
        id::ServiceName,
        routing::{Attempt, Event, Outcome, RequestBody, RequestKind, Step, Try},
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
    attempt: Attempt,
    answer: Option<Box<Answered>>,
}

impl<'a> Call<'a> {
    /// A request of a service.
    pub fn new(tries: &'a Tries, service: &'a ServiceName, idempotent: bool) -> Self {
        let body = match tries.source.whole() {
            true => RequestBody::Kept,
            false => RequestBody::Streamed,
        };
        let kind = RequestKind {
            idempotent,
            body,
            deadline: tries.deadline,
        };
        let new = |retries: &mut _| Attempt::new(kind, retries);
        Self {
            attempt: tries.state.with_retries(service, new),
            tries,
            service,
            answer: None,
        }
    }

    /// Runs it to the head of the answer. Dropping the future, as when the caller
    /// leaves, ends all its exchanges with their connections.
    pub async fn run(mut self) -> Response<AnswerBody> {
        let tries = self.tries;
        let mut open = FuturesUnordered::new();
        let mut step = self.step(Event::Admitted);
        loop {
            match step {
                Step::Send(send) => open.push(tries.run(send)),
                Step::Forward(no) => return self.forward(no),
                Step::Answer(verdict) => return self.give_up(from_verdict(&verdict)),
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
            step = self.step(event);
        }
    }

    fn step(&mut self, event: Event) -> Step {
        let state = &self.tries.state;
        let now = state.clock.now();
        let consumed = !self.tries.source.replayable();
        let attempt = &mut self.attempt;
        state.with_retries(self.service, |retries| {
            if consumed {
                attempt.step(Event::BodyBegun, now, retries);
            }
            attempt.step(event, now, retries)
        })
    }

    fn event(&mut self, ended: Ended) -> Event {
        match ended {
            Ended::Failed(event) => {
                self.note_silence(event);
                event
            }
            Ended::Answered(answered) => {
                let no = answered.no;
                // The first answer is passed on; a later one ends here.
                self.answer.get_or_insert(answered);
                Event::Answered(no)
            }
        }
    }

    /// Suspects the old connections of a server if a request on one of them got
    /// no sign of life until its time was up.
    fn note_silence(&self, event: Event) {
        if let (Event::TimedOut(Try(1), _), Some((begun, address))) =
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

    fn forward(&mut self, no: Try) -> Response<AnswerBody> {
        let Some(answered) = self.answer.take() else {
            return broken();
        };
        // A later try overtook the first: its connection, which was used before,
        // may have gone silent together with others of its age.
        if no > Try(1)
            && let Some((begun, address)) = self.tries.reused.get().copied()
        {
            self.tries.state.pool.suspect(address, begun);
        }
        let (mut head, body) = answered.response.into_parts();
        strip_hop_by_hop(&mut head.headers);
        let streamed = Streamed::new(body, answered.exchange);
        let mut answer = Response::from_parts(head, AnswerBody::Streamed(Box::new(streamed)));
        mark(&mut answer, Outcome::Ran);
        answer
    }

    fn give_up(&self, answer: Response<AnswerBody>) -> Response<AnswerBody> {
        let (status, reason) = if self.tries.source.too_large() {
            (StatusCode::PAYLOAD_TOO_LARGE, "the body is too large")
        } else if self.tries.source.cut() {
            (
                StatusCode::BAD_REQUEST,
                "the body is malformed or cut short",
            )
        } else {
            return answer;
        };
        // A part of the body may be with the server, which was cut off.
        own(status, Outcome::Unknown, None, reason)
    }
}

/// Resolves when a try on a connection that was used before should have its
/// answer by all experience, or has shown no sign of life for too long.
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
