//! One request, from the caller to the owner of its key and back.

use {
    super::{
        answer::{mark, own},
        body::AnswerBody,
        flights::{Flight, Flights},
        handle::TrafficHandle,
        phase::Phase,
        pool::Pool,
        request::{host, key_hash, set_grant, strip_hop_by_hop},
    },
    crate::clock::Clock,
    citron_core::{
        routing::{Outcome, Route, ServiceRoutes, Snapshot},
        table::ServerRow,
    },
    citron_wire::grant::HEADER_REFUSED,
    http::{HeaderValue, Request, Response, StatusCode, header, request::Parts},
    hyper::body::Incoming,
    std::{cell::RefCell, convert::Infallible, rc::Rc, sync::Arc, time::Duration},
};

/// When a caller may come back after a passing trouble, in seconds.
const RETRY_SOON: u32 = 1;

/// The request path of one traffic thread.
#[derive(Debug, Clone)]
pub struct Proxy {
    handle: TrafficHandle,
    flights: Rc<RefCell<Flights>>,
    pool: Pool,
    clock: Clock,
}

/// Where a request goes, and under which snapshot.
struct Target {
    snapshot: Arc<Snapshot>,
    service: Arc<ServiceRoutes>,
    server: Arc<ServerRow>,
    route: Route,
    flight: Flight,
}

impl Target {
    /// Whether the snapshot still allows a request to be written.
    ///
    /// Read right before the write: a thread that was paused for longer than
    /// its leave must not send to an owner that was replaced meanwhile.
    fn allowed(&self, clock: &Clock) -> bool {
        let own = self.server.domain == self.snapshot.domain;
        let grace = self.service.row.grace;
        self.route.open && self.snapshot.confirmation.allows(clock.now(), own, grace)
    }
}

impl Proxy {
    /// A path that routes by what the handle publishes.
    pub fn new(handle: TrafficHandle, flights: Rc<RefCell<Flights>>, clock: Clock) -> Self {
        let pool = Pool::default();
        Self {
            handle,
            flights,
            pool,
            clock,
        }
    }

    /// Answers one request; whatever fails becomes an answer that says so.
    pub async fn serve(
        self,
        request: Request<Incoming>,
    ) -> Result<Response<AnswerBody>, Infallible> {
        let mut answer = match self.probe(request.uri().path()) {
            Some(answer) => answer,
            None => self.route(request).await,
        };
        if self.handle.phase() > Phase::Serving {
            let close = HeaderValue::from_static("close");
            answer.headers_mut().insert(header::CONNECTION, close);
        }
        Ok(answer)
    }

    async fn route(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let (head, body) = request.into_parts();
        match self.target(&head) {
            Ok(target) => self.forward(target, head, body).await,
            Err(answer) => *answer,
        }
    }

    fn probe(&self, path: &str) -> Option<Response<AnswerBody>> {
        match path {
            "/healthz" => Some(own(StatusCode::OK, Outcome::NotRun, None, "alive")),
            "/readyz" if self.handle.phase() > Phase::Serving => {
                Some(unavailable("the instance is leaving"))
            }
            "/readyz" if self.handle.snapshot().is_some() => {
                Some(own(StatusCode::OK, Outcome::NotRun, None, "ready"))
            }
            "/readyz" => Some(unavailable("no table yet")),
            _ => None,
        }
    }

    fn target(&self, head: &Parts) -> Result<Target, Box<Response<AnswerBody>>> {
        let refuse = |status, reason: &str| Box::new(own(status, Outcome::NotRun, None, reason));
        let Some(snapshot) = self.handle.snapshot().clone() else {
            return Err(Box::new(unavailable("no table yet")));
        };
        let Some(service) = snapshot.map.service(host(head), head.uri.path()) else {
            return Err(refuse(
                StatusCode::NOT_FOUND,
                "no service for this host and path",
            ));
        };
        let Some(key) = key_hash(&service.row.key, head) else {
            return Err(refuse(StatusCode::BAD_REQUEST, "the request has no key"));
        };
        let Some(route) = service.route(key) else {
            return Err(Box::new(unavailable("the key has no owner yet")));
        };
        let service = Arc::clone(service);
        let server = Arc::clone(snapshot.map.server(route.server));
        let revision = snapshot.map.revision;
        let flight = Flight::enter(&self.flights, &service, route.scope, &server, revision);
        Ok(Target {
            snapshot,
            service,
            server,
            route,
            flight,
        })
    }

    async fn forward(
        &self,
        mut target: Target,
        mut head: Parts,
        body: Incoming,
    ) -> Response<AnswerBody> {
        let address = target.server.address;
        let mut connection = match self.pool.take(address).await {
            Ok(connection) => connection,
            Err(error) => return unavailable(&error.to_string()),
        };
        if !target.allowed(&self.clock) {
            self.pool.give(address, connection);
            return unavailable("the owner of the key is not certain now");
        }
        strip_hop_by_hop(&mut head.headers);
        set_grant(&mut head.headers, &target.service.row, &target.route);
        let deadline: Duration = target.service.row.deadline;
        target.flight.written(self.clock.now() + deadline);
        let sent = connection
            .send_request(Request::from_parts(head, body))
            .await;
        match sent {
            Ok(response) => {
                self.pool.give(address, connection);
                target.flight.settled();
                passed_on(response, target.flight)
            }
            Err(error) => own(
                StatusCode::BAD_GATEWAY,
                Outcome::Unknown,
                None,
                &error.to_string(),
            ),
        }
    }
}

fn passed_on(response: Response<Incoming>, flight: Flight) -> Response<AnswerBody> {
    let refused = response.headers().contains_key(HEADER_REFUSED);
    if refused {
        return unavailable("the backend server refused the request");
    }
    let (mut head, body) = response.into_parts();
    strip_hop_by_hop(&mut head.headers);
    let mut answer = Response::from_parts(
        head,
        AnswerBody::Streamed {
            body,
            _flight: flight,
        },
    );
    mark(&mut answer, Outcome::Ran);
    answer
}

fn unavailable(reason: &str) -> Response<AnswerBody> {
    own(
        StatusCode::SERVICE_UNAVAILABLE,
        Outcome::NotRun,
        Some(RETRY_SOON),
        reason,
    )
}
