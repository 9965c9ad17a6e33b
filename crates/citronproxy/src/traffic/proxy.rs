//! The requests of one traffic thread.

use {
    super::{
        answer::{own, unavailable},
        body::AnswerBody,
        call::Call,
        deadline,
        phase::Phase,
        request::{host, prepare},
        state::State,
        tries::Tries,
        upload::Source,
    },
    citron_core::routing::{Outcome, ServiceRoutes},
    http::{HeaderValue, Method, Request, Response, StatusCode, Version, header, request::Parts},
    hyper::body::{Body, Incoming},
    std::{
        cell::{Cell, OnceCell},
        convert::Infallible,
        rc::Rc,
        sync::Arc,
    },
    tokio::sync::Notify,
};

/// The request path of one traffic thread.
#[derive(Debug, Clone)]
pub struct Proxy {
    state: Rc<State>,
}

/// An answer of ours; boxed, since it is large and rare.
type Refusal = Box<Response<AnswerBody>>;

impl Proxy {
    /// A path that routes by what the handle publishes.
    pub fn new(state: &Rc<State>) -> Self {
        let state = Rc::clone(state);
        Self { state }
    }

    /// Answers one request; whatever fails becomes an answer that says so.
    pub async fn serve(
        self,
        request: Request<Incoming>,
    ) -> Result<Response<AnswerBody>, Infallible> {
        let mut answer = match self.probe(request.uri().path()) {
            Some(answer) => answer,
            None => self.route(request).await.unwrap_or_else(|refusal| *refusal),
        };
        if self.state.handle.phase() > Phase::Serving {
            let close = HeaderValue::from_static("close");
            answer.headers_mut().insert(header::CONNECTION, close);
        }
        Ok(answer)
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
            _ => None,
        }
    }

    async fn route(&self, request: Request<Incoming>) -> Result<Response<AnswerBody>, Refusal> {
        let (mut head, body) = request.into_parts();
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
        if body.size_hint().lower() > max {
            let reason = "the body is too large";
            return Err(refusal(StatusCode::PAYLOAD_TOO_LARGE, reason));
        }
        prepare(&mut head);
        let idempotent = row.idempotent.iter().any(|m| m == head.method.as_str());
        let tries = Tries {
            state: Rc::clone(&self.state),
            head,
            source: Source::new(body, max),
            deadline,
            refused: Cell::new(None),
            patient: Cell::new(None),
            reused: OnceCell::new(),
            noted: Notify::new(),
        };
        Ok(Call::new(&tries, &row.name, idempotent).run().await)
    }

    fn service(&self, head: &Parts) -> Result<Arc<ServiceRoutes>, Refusal> {
        let snapshot = self.state.handle.snapshot();
        let Some(snapshot) = snapshot.as_ref() else {
            return Err(Box::new(unavailable("no table yet")));
        };
        let service = snapshot.map.service(host(head), head.uri.path());
        let service = service.ok_or_else(|| {
            let reason = "no service for this host and path";
            refusal(StatusCode::NOT_FOUND, reason)
        })?;
        if super::request::key_hash(&service.row.key, head).is_none() {
            let reason = "the request has no key";
            return Err(refusal(StatusCode::BAD_REQUEST, reason));
        }
        Ok(Arc::clone(service))
    }
}

/// Refuses what cannot be passed on exactly.
fn check(head: &Parts) -> Result<(), Refusal> {
    // In HTTP/1.0 an answer without a length ends with its connection, so that
    // one cut short would look whole.
    if head.version != Version::HTTP_11 {
        let reason = "HTTP/1.1 is needed";
        return Err(refusal(StatusCode::HTTP_VERSION_NOT_SUPPORTED, reason));
    }
    if matches!(head.method, Method::CONNECT | Method::TRACE) {
        let reason = "the method is not passed on";
        return Err(refusal(StatusCode::METHOD_NOT_ALLOWED, reason));
    }
    Ok(())
}

fn refusal(status: StatusCode, reason: &str) -> Refusal {
    Box::new(own(status, Outcome::NotRun, None, reason))
}
