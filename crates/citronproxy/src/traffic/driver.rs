//! Processing of one request up to the head of its response.

use {
    super::{
        attempts::{AttemptOutcome, Attempts, ServerResponse},
        crash_log::CrashEvent,
        limiters::{Denied, Slot},
        local_response::{from_decision, local_response, set_outcome},
        request::strip_hop_by_hop,
        response_body::{ResponseBody, StreamedBody},
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

/// Delay after which an idempotent request on a reused connection is sent again on a new
/// one, while too few latencies of the server are known. The reused connection may be
/// dead without having been reset.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Executes the steps that the routing core decides on for one request.
#[derive(Debug)]
pub struct RequestDriver<'a> {
    attempts: &'a Attempts,
    service: &'a ServiceName,
    retry_state: RetryState,
    response: Option<Box<ServerResponse>>,
    slot: Option<Slot>,
}

impl<'a> RequestDriver<'a> {
    /// Creates the driver of a request.
    pub fn new(attempts: &'a Attempts, service: &'a ServiceName, idempotent: bool) -> Self {
        let body = match attempts.body.is_complete() {
            true => RequestBody::Buffered,
            false => RequestBody::Streamed,
        };
        let kind = RequestKind {
            idempotent,
            body,
            deadline: attempts.deadline,
        };
        let new_state = |retries: &mut _| RetryState::new(kind, retries);
        Self {
            retry_state: attempts.state.with_retries(service, new_state),
            attempts,
            service,
            response: None,
            slot: None,
        }
    }

    /// Runs the request up to the head of the response and returns the number of
    /// attempts. Dropping the future, as when the client disconnects, closes the
    /// connections of all its exchanges.
    pub async fn run(mut self) -> (Response<ResponseBody>, u32) {
        let response = self.drive().await;
        (response, self.retry_state.attempts())
    }

    async fn drive(&mut self) -> Response<ResponseBody> {
        let attempts = self.attempts;
        let mut open = FuturesUnordered::new();
        let admitted = self.admit().await;
        let mut step = self.step(admitted);
        loop {
            match step {
                Step::Send(send) => match self.quarantine_denial() {
                    Some(denial) => {
                        step = self.step(denial);
                        continue;
                    }
                    None => open.push(attempts.run(send)),
                },
                Step::Forward(no) => return self.forward(no),
                Step::Answer(decision) => return from_decision(&decision),
                Step::Wait => {}
                Step::Abort | Step::Done | Step::Drop => return internal_error(),
            }
            let can_hedge = self.can_hedge(open.len());
            let event = tokio::select! {
                biased;
                Some(outcome) = open.next() => self.on_outcome(outcome),
                () = wait_hedge_due(attempts), if can_hedge => Event::HedgeDue,
                else => return internal_error(),
            };
            if self.response.is_none()
                && let Some(response) = self.body_error_response(event)
            {
                return response;
            }
            self.report_crash(event);
            step = self.step(event);
        }
    }

    async fn admit(&mut self) -> Event {
        if self.attempts.state.crash_log.has_entries() {
            self.attempts.body.buffer_if_small().await;
        }
        if let Some(denial) = self.quarantine_denial() {
            return denial;
        }
        match self.attempts.admit().await {
            Ok(slot) => {
                self.slot = slot;
                Event::Admitted
            }
            Err(Denied { reason, wait }) => Event::Denied { reason, wait },
        }
    }

    /// Denial of a request whose fingerprint is quarantined. If forwarded, the request
    /// could crash one server after the other.
    fn quarantine_denial(&self) -> Option<Event> {
        let crash_log = &self.attempts.state.crash_log;
        if !crash_log.has_entries() {
            return None;
        }
        let wait = crash_log.refused_for(self.attempts.fingerprint())?;
        let reason = FailureReason::Quarantined;
        Some(Event::Denied { reason, wait })
    }

    /// Clears the crashes of this fingerprint on all threads. That takes a lock, so
    /// requests without recorded crashes return early.
    fn report_answered(&self) {
        let state = &self.attempts.state;
        if !state.crash_log.has_entries() {
            return;
        }
        let fingerprint = self.attempts.fingerprint();
        if state.crash_log.has_crash(fingerprint) {
            state
                .handle
                .send_crash_event(&CrashEvent::Answered(fingerprint));
        }
    }

    /// Records a connection that was lost while the server had the request.
    fn report_crash(&self, event: Event) {
        let attempts = self.attempts;
        if let Event::Lost(_, stage) = event
            && !stage.is_unsent()
            && let Some(server) = attempts.last_server.borrow().clone()
        {
            attempts
                .state
                .handle
                .send_crash_event(&CrashEvent::Crashed {
                    fingerprint: attempts.fingerprint(),
                    label: format!("{} {}", attempts.head.method, attempts.head.uri),
                    server: server.name.clone(),
                });
        }
    }

    fn step(&mut self, event: Event) -> Step {
        let state = &self.attempts.state;
        let now = state.clock.now();
        let is_consumed = !self.attempts.body.is_replayable();
        let retry_state = &mut self.retry_state;
        state.with_retries(self.service, |retries| {
            if is_consumed {
                retry_state.step(Event::BodyStarted, now, retries);
            }
            retry_state.step(event, now, retries)
        })
    }

    fn on_outcome(&mut self, outcome: AttemptOutcome) -> Event {
        match outcome {
            AttemptOutcome::Failed(event) => {
                self.evict_if_silent(event);
                self.record_release(event);
                event
            }
            AttemptOutcome::Answered(received) => {
                let no = received.no;
                self.report_answered();
                // The first response is forwarded; later ones are dropped.
                self.response.get_or_insert(received);
                Event::Answered(no)
            }
        }
    }

    /// Sets the reason with which the slot is released, by what the failure indicates
    /// about the server's load.
    fn record_release(&mut self, event: Event) {
        let release = match event {
            Event::Refused { .. } => ReleaseReason::Refused,
            Event::TimedOut(..) => ReleaseReason::TimedOut,
            _ => ReleaseReason::Other,
        };
        if let Some(slot) = &mut self.slot {
            slot.set_release(release);
        }
    }

    /// Evicts older idle connections of a server after a request on a reused connection
    /// received no bytes until it timed out.
    fn evict_if_silent(&self, event: Event) {
        if let (Event::TimedOut(AttemptNo(1), _), Some((written_at, address))) =
            (event, self.attempts.first_reused.get().copied())
        {
            self.attempts.state.pool.evict_older(address, written_at);
        }
    }

    /// Whether the request may be sent once more while an attempt is open.
    fn can_hedge(&self, open: usize) -> bool {
        // A body that is still being read cannot be read a second time.
        let body = &self.attempts.body;
        open == 1 && body.is_buffered() && self.retry_state.can_hedge()
    }

    fn forward(&mut self, no: AttemptNo) -> Response<ResponseBody> {
        let Some(received) = self.response.take() else {
            return internal_error();
        };
        // A later attempt was faster than the first. The reused connection of the first
        // may be dead, together with others of its age.
        if no > AttemptNo(1)
            && let Some((written_at, address)) = self.attempts.first_reused.get().copied()
        {
            self.attempts.state.pool.evict_older(address, written_at);
        }
        let (mut head, body) = received.response.into_parts();
        strip_hop_by_hop(&mut head.headers);
        let streamed = StreamedBody::new(body, received.exchange, self.slot.take());
        let mut response = Response::from_parts(head, ResponseBody::Streamed(Box::new(streamed)));
        set_outcome(&mut response, Outcome::Ran);
        response
    }

    /// Response to a client whose body cannot be forwarded completely.
    fn body_error_response(&self, event: Event) -> Option<Response<ResponseBody>> {
        let (status, reason) = if self.attempts.body.is_too_large() {
            (StatusCode::PAYLOAD_TOO_LARGE, "the body is too large")
        } else if self.attempts.body.is_truncated() {
            (
                StatusCode::BAD_REQUEST,
                "the body is malformed or cut short",
            )
        } else {
            return None;
        };
        // Once part of the request was written, it is unknown whether the server ran it.
        let is_unsent = matches!(event, Event::Lost(AttemptNo(1), stage) if stage.is_unsent());
        let outcome = if is_unsent {
            Outcome::NotRun
        } else {
            Outcome::Unknown
        };
        Some(local_response(status, outcome, None, reason))
    }
}

/// Resolves when an attempt on a reused connection should have had its response by the
/// server's observed latencies, or after [`SILENCE_TIMEOUT`] while these are unknown.
async fn wait_hedge_due(attempts: &Attempts) {
    let (written_at, address) = attempts.wait_reused().await;
    let state = &attempts.state;
    let due = state.hedge_delay(address).unwrap_or(SILENCE_TIMEOUT);
    let spent: Duration = state.clock.now() - written_at;
    sleep(due.saturating_sub(spent)).await;
}

fn internal_error() -> Response<ResponseBody> {
    let reason = "the request came to no end";
    local_response(
        StatusCode::INTERNAL_SERVER_ERROR,
        Outcome::Unknown,
        None,
        reason,
    )
}
