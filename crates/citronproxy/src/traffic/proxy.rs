//! HTTP request handling of one traffic thread.

use {
    super::{
        attempts::Attempts,
        deadline,
        driver::RequestDriver,
        guard::Refusal,
        limits::Limits,
        local_response::{local_response, outcome_of, unavailable},
        phase::Phase,
        request::{host, prepare_forward},
        request_body::ClientBody,
        response_body::ResponseBody,
        state::ThreadState,
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

/// Path of the metrics endpoint.
const METRICS_PATH: &str = "/metrics";

/// Request handler of one traffic thread.
#[derive(Debug, Clone)]
pub struct Proxy {
    state: Rc<ThreadState>,
}

/// Local response, boxed since it is large and rare.
type BoxedResponse = Box<Response<ResponseBody>>;

impl Proxy {
    /// Creates a handler that routes by the published snapshots.
    pub fn new(state: &Rc<ThreadState>) -> Self {
        let state = Rc::clone(state);
        Self { state }
    }

    /// Limits for clients and their requests.
    pub fn limits(&self) -> Limits {
        self.state.limits
    }

    /// Handles one request. Every failure results in a response that states it.
    pub async fn serve(self, head: Parts, body: Option<Incoming>) -> Response<ResponseBody> {
        let path = head.uri.path();
        let mut response = match self.internal_response(path) {
            Some(response) => response,
            None if path == METRICS_PATH => {
                let text = self.state.handle.metrics().await;
                local_response(StatusCode::OK, Outcome::NotRun, None, text.trim_end())
            }
            None => self
                .route(head, body)
                .await
                .unwrap_or_else(|refusal| *refusal),
        };
        if self.state.handle.phase() > Phase::Serving {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }

    /// Whether the request may be repeated and connections are kept alive, so that it may
    /// be started early.
    pub fn is_repeatable(&self, head: &Parts) -> bool {
        let service = self.find_service(head);
        let idempotent = service.is_ok_and(|service| is_idempotent(&service.row, head));
        idempotent && self.state.handle.phase() <= Phase::Serving
    }

    fn internal_response(&self, path: &str) -> Option<Response<ResponseBody>> {
        let handle = &self.state.handle;
        let ok = |reason| local_response(StatusCode::OK, Outcome::NotRun, None, reason);
        match path {
            "/healthz" => Some(ok("alive")),
            "/readyz" if handle.phase() > Phase::Serving => {
                Some(unavailable("the instance is leaving"))
            }
            "/readyz" if handle.snapshot().is_some() => Some(ok("ready")),
            "/readyz" => Some(unavailable("no table yet")),
            _ => {
                let refused = Refusal::from_path(path)?;
                let (status, reason) = (refused.status(), refused.to_string());
                Some(local_response(status, Outcome::NotRun, None, &reason))
            }
        }
    }

    async fn route(
        &self,
        mut head: Parts,
        body: Option<Incoming>,
    ) -> Result<Response<ResponseBody>, BoxedResponse> {
        check_supported(&head)?;
        let service = self.find_service(&head)?;
        let row = &service.row;
        let now = self.state.clock.now();
        let deadline = deadline::request_deadline(&head.headers, now, row.deadline);
        let deadline = deadline.ok_or_else(|| {
            let reason = "citron-timeout-ms is not a number above 0";
            refusal(StatusCode::BAD_REQUEST, reason)
        })?;
        let max = self.state.limits.max_body_bytes;
        if body
            .as_ref()
            .is_some_and(|body| body.size_hint().lower() > max)
        {
            let reason = "the body is too large";
            return Err(refusal(StatusCode::PAYLOAD_TOO_LARGE, reason));
        }
        prepare_forward(&mut head);
        let idempotent = is_idempotent(row, &head);
        let attempts = Attempts {
            state: Rc::clone(&self.state),
            head,
            body: ClientBody::new(body, max, &self.state.buffers),
            deadline,
            refused_revision: Cell::new(None),
            last_server: RefCell::default(),
            wait_until: Cell::new(None),
            first_reused: OnceCell::new(),
            reuse_notify: Notify::new(),
        };
        let Some(_operator_slot) = OperatorSlot::acquire(&self.state, &row.operator) else {
            let reason = "too many requests of this operator are in progress";
            let refused = unavailable(reason);
            self.record(row, &refused, 0, Duration::ZERO);
            return Err(Box::new(refused));
        };
        let driver = RequestDriver::new(&attempts, &row.name, idempotent);
        let (response, sent) = driver.run().await;
        self.record(row, &response, sent, self.state.clock.now() - now);
        Ok(response)
    }

    /// Records a response in the metrics and in the counters for service-level
    /// objectives.
    fn record(
        &self,
        row: &ServiceRow,
        response: &Response<ResponseBody>,
        attempts: u32,
        time: Duration,
    ) {
        let outcome = outcome_of(response);
        let mut metrics = self.state.metrics.borrow_mut();
        metrics.count_request(&row.name, outcome, attempts, time);
        let is_failed = outcome != Outcome::Ran || response.status().is_server_error();
        let is_slow = time > row.objectives.latency;
        let mut in_flight = self.state.in_flight.borrow_mut();
        in_flight
            .slo_counters
            .count_response(&row.name, is_failed, is_slow);
    }

    fn find_service(&self, head: &Parts) -> Result<Arc<ServiceRoutes>, BoxedResponse> {
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

/// Place in the operator's limit of requests in progress, held until the head of the
/// response.
struct OperatorSlot<'a> {
    state: &'a ThreadState,
    operator: &'a OperatorName,
}

impl<'a> OperatorSlot<'a> {
    fn acquire(state: &'a ThreadState, operator: &'a OperatorName) -> Option<Self> {
        let is_acquired = state.operator_limiter.borrow_mut().try_acquire(operator);
        is_acquired.then_some(Self { state, operator })
    }
}

impl Drop for OperatorSlot<'_> {
    fn drop(&mut self) {
        self.state
            .operator_limiter
            .borrow_mut()
            .release(self.operator);
    }
}

/// Refuses requests that cannot be forwarded faithfully.
fn check_supported(head: &Parts) -> Result<(), BoxedResponse> {
    // In HTTP/1.0, a response without a length ends with its connection, so that a
    // truncated one would look complete.
    if head.version != Version::HTTP_11 {
        let reason = "HTTP/1.1 is needed";
        return Err(closing_refusal(
            StatusCode::HTTP_VERSION_NOT_SUPPORTED,
            reason,
        ));
    }
    if matches!(head.method, Method::CONNECT | Method::TRACE) {
        let reason = "the method is not passed on";
        return Err(closing_refusal(StatusCode::METHOD_NOT_ALLOWED, reason));
    }
    Ok(())
}

/// Refusal that closes the connection, since the bytes that follow such a request may not
/// be a request.
fn closing_refusal(status: StatusCode, reason: &str) -> BoxedResponse {
    let mut refused = refusal(status, reason);
    let close = HeaderValue::from_static("close");
    refused.headers_mut().insert(header::CONNECTION, close);
    refused
}

fn refusal(status: StatusCode, reason: &str) -> BoxedResponse {
    Box::new(local_response(status, Outcome::NotRun, None, reason))
}
