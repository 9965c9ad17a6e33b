//! The requests of one traffic thread.

use {
    super::{
        attempts::Tries,
        deadline,
        driver::Call,
        guard::Refusal,
        limits::Limits,
        local_response::{outcome_of, own, unavailable},
        phase::Phase,
        request::{host, prepare},
        request_body::{REPLAY_MAX, Source},
        response_body::AnswerBody,
        state::State,
    },
    citron_core::{
        id::OperatorName,
        routing::{Outcome, ServiceRoutes},
        table::ServiceRow,
    },
    http::{HeaderValue, Method, Response, StatusCode, Version, header, request::Parts},
    hyper::body::{Body, Incoming},
    std::{
        cell::{Cell, OnceCell, RefCell},
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::sync::Notify,
};

/// Where metrics are read.
const METRICS: &str = "/metrics";

/// The request path of one traffic thread.
#[derive(Debug, Clone)]
pub struct Proxy {
    state: Rc<State>,
}

/// An answer of ours; boxed, since it is large and rare.
type Refused = Box<Response<AnswerBody>>;

impl Proxy {
    /// A path that routes by what the handle publishes.
    pub fn new(state: &Rc<State>) -> Self {
        let state = Rc::clone(state);
        Self { state }
    }

    /// What callers may take up.
    pub fn limits(&self) -> Limits {
        self.state.limits
    }

    /// Answers one request; whatever fails becomes an answer that says so.
    pub async fn serve(self, head: Parts, body: Option<Incoming>) -> Response<AnswerBody> {
        let path = head.uri.path();
        let mut answer = match self.probe(path) {
            Some(answer) => answer,
            None if path == METRICS => {
                let text = self.state.handle.metrics().await;
                own(StatusCode::OK, Outcome::NotRun, None, text.trim_end())
            }
            None => self
                .route(head, body)
                .await
                .unwrap_or_else(|refusal| *refusal),
        };
        if self.state.handle.phase() > Phase::Serving {
            let close = HeaderValue::from_static("close");
            answer.headers_mut().insert(header::CONNECTION, close);
        }
        answer
    }

    /// Whether a request may run again, and connections do not end soon.
    pub fn may_repeat(&self, head: &Parts) -> bool {
        let service = self.service(head);
        let idempotent = service.is_ok_and(|service| is_idempotent(&service.row, head));
        idempotent && self.state.handle.phase() <= Phase::Serving
    }

    fn probe(&self, path: &str) -> Option<Response<AnswerBody>> {
        let handle = &self.state.handle;
        let ok = |reason| own(StatusCode::OK, Outcome::NotRun, None, reason);
        match path {
            "/healthz" => Some(ok("alive")),
            "/readyz" if handle.phase() > Phase::Serving => {
                Some(unavailable("the instance is leaving"))
            }
            "/readyz" if handle.snapshot().is_some() => Some(ok("ready")),
            "/readyz" => Some(unavailable("no table yet")),
            _ => {
                let refused = Refusal::of_path(path)?;
                let (status, reason) = (refused.status(), refused.to_string());
                Some(own(status, Outcome::NotRun, None, &reason))
            }
        }
    }

    async fn route(
        &self,
        mut head: Parts,
        body: Option<Incoming>,
    ) -> Result<Response<AnswerBody>, Refused> {
        check(&head)?;
        let service = self.service(&head)?;
        let row = &service.row;
        let now = self.state.clock.now();
        let deadline = deadline::deadline(&head.headers, now, row.deadline);
        let deadline = deadline.ok_or_else(|| {
            let reason = "citron-timeout-ms is not a number above 0";
            refusal(StatusCode::BAD_REQUEST, reason)
        })?;
        let max = self.state.limits.body;
        if body
            .as_ref()
            .is_some_and(|body| body.size_hint().lower() > max)
        {
            let reason = "the body is too large";
            return Err(refusal(StatusCode::PAYLOAD_TOO_LARGE, reason));
        }
        prepare(&mut head);
        let idempotent = is_idempotent(row, &head);
        let tries = Tries {
            state: Rc::clone(&self.state),
            head,
            source: Source::new(body, max, REPLAY_MAX),
            deadline,
            refused: Cell::new(None),
            server: RefCell::default(),
            patient: Cell::new(None),
            reused: OnceCell::new(),
            noted: Notify::new(),
        };
        let Some(_room) = Room::enter(&self.state, &row.operator) else {
            let reason = "too many requests of this operator are in progress";
            let refused = unavailable(reason);
            self.count(row, &refused, 0, Duration::ZERO);
            return Err(Box::new(refused));
        };
        let call = Call::new(&tries, &row.name, idempotent);
        let (answer, sent) = call.run().await;
        self.count(row, &answer, sent, self.state.clock.now() - now);
        Ok(answer)
    }

    /// Counts an answer for the metrics and for the service's objectives.
    fn count(&self, row: &ServiceRow, answer: &Response<AnswerBody>, tries: u32, time: Duration) {
        let outcome = outcome_of(answer);
        let mut metrics = self.state.metrics.borrow_mut();
        metrics.count(&row.name, outcome, tries, time);
        let failed = outcome != Outcome::Ran || answer.status().is_server_error();
        let slow = time > row.objectives.latency;
        let mut flights = self.state.flights.borrow_mut();
        flights.burn.answered(&row.name, failed, slow);
    }

    fn service(&self, head: &Parts) -> Result<Arc<ServiceRoutes>, Refused> {
        let snapshot = self.state.handle.snapshot();
        let Some(snapshot) = snapshot.as_ref() else {
            return Err(Box::new(unavailable("no table yet")));
        };
        let service = snapshot.map.service(host(head), head.uri.path());
        let service = service.ok_or_else(|| {
            let reason = "no service for this host and path";
            refusal(StatusCode::NOT_FOUND, reason)
        })?;
        if super::request::key_hash(&service.row.key_source, head).is_none() {
            let reason = "the request has no key";
            return Err(refusal(StatusCode::BAD_REQUEST, reason));
        }
        Ok(Arc::clone(service))
    }
}

fn is_idempotent(row: &ServiceRow, head: &Parts) -> bool {
    row.idempotent_methods
        .iter()
        .any(|m| m == head.method.as_str())
}

/// Room that a request takes up until the head of its answer.
struct Room<'a> {
    state: &'a State,
    operator: &'a OperatorName,
}

impl<'a> Room<'a> {
    fn enter(state: &'a State, operator: &'a OperatorName) -> Option<Self> {
        let entered = state.room.borrow_mut().try_acquire(operator);
        entered.then_some(Self { state, operator })
    }
}

impl Drop for Room<'_> {
    fn drop(&mut self) {
        self.state.room.borrow_mut().release(self.operator);
    }
}

/// Refuses what cannot be passed on exactly.
fn check(head: &Parts) -> Result<(), Refused> {
    // In HTTP/1.0 an answer without a length ends with its connection, so that
    // one cut short would look whole.
    if head.version != Version::HTTP_11 {
        let reason = "HTTP/1.1 is needed";
        return Err(last(StatusCode::HTTP_VERSION_NOT_SUPPORTED, reason));
    }
    if matches!(head.method, Method::CONNECT | Method::TRACE) {
        let reason = "the method is not passed on";
        return Err(last(StatusCode::METHOD_NOT_ALLOWED, reason));
    }
    Ok(())
}

/// A refusal that ends the connection: what follows such a request on it may not
/// be a request.
fn last(status: StatusCode, reason: &str) -> Refused {
    let mut refused = refusal(status, reason);
    let close = HeaderValue::from_static("close");
    refused.headers_mut().insert(header::CONNECTION, close);
    refused
}

fn refusal(status: StatusCode, reason: &str) -> Refused {
    Box::new(own(status, Outcome::NotRun, None, reason))
}
