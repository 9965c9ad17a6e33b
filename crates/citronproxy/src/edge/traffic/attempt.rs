//! One request on one connection to one server.

use {
    super::{
        concurrency::ConcurrencyPermit,
        idle_limits::ReuseRecorder,
        pooled_connection::PooledConnection,
        response::{ResponseBody, StreamingBody},
        thread::TrafficState,
    },
    crate::{
        edge::shared::SharedState,
        traffic::{
            pool::{Connection, Reuse},
            request::{keep_alive_timeout, strip_hop_by_hop},
            request_body::{CallerBody, UpstreamBody},
        },
    },
    bytes::BytesMut,
    citron_core::{
        dispatch::{AttemptOutcome, ON_TIME_SHARE, ReportedLoad, Timeliness, run_share},
        id::{ServerName, ServiceName},
        registry::ServerRecord,
        routes::Idempotency,
        time::Time,
    },
    http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header, request::Parts},
    http_body_util::BodyExt,
    hyper::body::{Body, Incoming},
    std::{cell::Cell, fmt, rc::Rc, sync::Arc, time::Duration},
    tokio::{
        sync::Notify,
        time::{sleep, timeout},
    },
};

/// How long a new connection may take: servers are a millisecond away, and one
/// that is overloaded or dark takes none.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a request waits on a new connection to a server that may close it at once:
/// a round trip between failure domains, and some.
const RESET_WAIT: Duration = Duration::from_millis(4);
/// A new connection that breaks so soon tells of a server with no room for it; one
/// that is gone takes none at all.
const IMMEDIATE_RESET_MAX: Duration = Duration::from_millis(20);
/// How long a kept connection may have been quiet for a request that may be sent
/// again, if the server does not tell how long it keeps it.
const DEFAULT_IDLE_MAX: Duration = Duration::from_secs(6);
/// Answers up to this size are read whole before anything of them is passed on,
/// so that one that breaks off can be asked for again.
const BUFFERED_BODY_MAX_BYTES: usize = 64 * 1_024;

/// What became of one try.
#[derive(Debug)]
pub enum AttemptResult {
    /// An answer to pass on.
    Responded(Response<ResponseBody>),
    /// The server promised that it has not run the request.
    Refused,
    /// Another start has the address, or another server the key; not run.
    Misdirected,
    /// The server has surely seen nothing.
    NotSent(String),
    /// It closed a new connection before anything was sent: it has as many as it takes.
    Closed,
    /// The request may have run.
    Lost(String),
}

impl fmt::Display for AttemptResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Responded(response) => write!(f, "answered {}", response.status()),
            Self::Refused => f.write_str("refused, not run"),
            Self::Misdirected => f.write_str("not the owner, not run"),
            Self::NotSent(reason) => write!(f, "not sent: {reason}"),
            Self::Closed => f.write_str("not sent: a new connection was closed"),
            Self::Lost(reason) => write!(f, "lost: {reason}"),
        }
    }
}

/// A request's place at a server, counted until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    shared: Arc<SharedState>,
    capacity_freed: Rc<Notify>,
    server: ServerName,
    started: Time,
    /// Whether its connection is a new one.
    is_new_connection: bool,
    /// The part of its time there that it runs.
    run_fraction: f64,
    outcome: AttemptOutcome,
    clock: crate::clock::Clock,
    /// Where any server of the service would do.
    permit: Option<ConcurrencyPermit>,
    /// How long it was planned to take; nothing if it was sent late.
    response_limit: Option<Duration>,
    /// What the server said of its load.
    reported_load: Option<ReportedLoad>,
}

impl InFlightGuard {
    fn new(state: &TrafficState, server: &ServerRecord, outgoing: &OutgoingRequest<'_>) -> Self {
        let mut loads = state.shared.loads();
        let name = &server.entry.name;
        let run_fraction = run_share(loads.get(name).in_flight(), server.entry.slots);
        loads.begin(name, state.clock.now());
        let started = state.clock.now();
        let permit =
            (!outgoing.is_keyed).then(|| state.concurrency_limits.begin(&server.entry.service));
        let remaining = outgoing.objective - started;
        Self {
            shared: Arc::clone(&state.shared),
            capacity_freed: Rc::clone(&state.capacity_freed),
            server: name.clone(),
            started,
            is_new_connection: false,
            permit,
            response_limit: (!remaining.is_zero()).then(|| remaining.mul_f64(ON_TIME_SHARE)),
            run_fraction,
            reported_load: None,
            outcome: AttemptOutcome::Other,
            clock: state.clock,
        }
    }

    /// Ends it with a whole answer.
    pub fn complete(mut self) {
        self.outcome = AttemptOutcome::Ran;
    }

    /// What its end tells of the service's room.
    fn timeliness(&self, elapsed: Duration) -> Timeliness {
        let is_late = self.response_limit.map(|limit| elapsed > limit);
        match (self.outcome, is_late) {
            (AttemptOutcome::Full | AttemptOutcome::Closed, _) => Timeliness::Late,
            (AttemptOutcome::Ran, Some(false)) => Timeliness::OnTime,
            // No answer by then, or given up by the caller, tells the same.
            (AttemptOutcome::Ran | AttemptOutcome::Other, Some(true)) => Timeliness::Late,
            _ => Timeliness::Unknown,
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let now = self.clock.now();
        let elapsed = now - self.started;
        let timeliness = self.timeliness(elapsed);
        if let Some(permit) = &mut self.permit {
            permit.timeliness = timeliness;
        }
        let mut loads = self.shared.loads();
        loads.end(&self.server, self.outcome, elapsed, self.run_fraction, now);
        drop(loads);
        self.capacity_freed.notify_waiters();
    }
}

/// What is sent.
#[derive(Debug)]
pub struct OutgoingRequest<'a> {
    /// The head, as the caller sent it.
    pub head: &'a Parts,
    /// The body.
    pub body: &'a Rc<CallerBody>,
    /// How often it may run.
    pub idempotency: Idempotency,
    /// When its answer loses worth.
    pub objective: Time,
    /// When the caller waits no longer.
    pub deadline: Time,
    /// Whether it goes to the owner of its key.
    pub is_keyed: bool,
    /// Whether a try is under way that may have reached its server: until a connection
    /// is there, it has not.
    pub may_be_sent: Cell<bool>,
}

/// Sends a message to a server and reads its answer.
pub async fn send(
    state: &TrafficState,
    server: &ServerRecord,
    outgoing: &OutgoingRequest<'_>,
) -> AttemptResult {
    let mut in_flight = InFlightGuard::new(state, server, outgoing);
    let result = exchange(state, server, outgoing, &mut in_flight).await;
    in_flight.outcome = match &result {
        // A streamed answer has taken the slot over, and this one counts nothing.
        ExchangeResult::Complete(response) if response.status().is_server_error() => {
            AttemptOutcome::Failed
        }
        ExchangeResult::Complete(_) => AttemptOutcome::Ran,
        ExchangeResult::Failed(AttemptResult::Refused)
            if in_flight.reported_load.is_some_and(|load| load.has_room()) =>
        {
            AttemptOutcome::Shed
        }
        ExchangeResult::Failed(AttemptResult::Refused) => AttemptOutcome::Full,
        ExchangeResult::Failed(AttemptResult::Closed) => AttemptOutcome::Closed,
        // A server that takes connections and closes them at once is there, and full.
        ExchangeResult::Failed(AttemptResult::Lost(_))
            if in_flight.is_new_connection
                && state.clock.now() - in_flight.started < IMMEDIATE_RESET_MAX =>
        {
            AttemptOutcome::Closed
        }
        ExchangeResult::Failed(AttemptResult::NotSent(_) | AttemptResult::Lost(_)) => {
            AttemptOutcome::Lost
        }
        ExchangeResult::Failed(_) | ExchangeResult::Streaming(..) => AttemptOutcome::Other,
    };
    match result {
        ExchangeResult::Complete(response) => AttemptResult::Responded(response),
        ExchangeResult::Streaming(head, mut body) => {
            body.in_flight = Some(in_flight);
            AttemptResult::Responded(Response::from_parts(head, ResponseBody::Streaming(body)))
        }
        ExchangeResult::Failed(result) => result,
    }
}

enum ExchangeResult {
    Complete(Response<ResponseBody>),
    Streaming(http::response::Parts, Box<StreamingBody>),
    Failed(AttemptResult),
}

async fn exchange(
    state: &TrafficState,
    server: &ServerRecord,
    outgoing: &OutgoingRequest<'_>,
    in_flight: &mut InFlightGuard,
) -> ExchangeResult {
    let address = server.entry.address;
    let service = &server.entry.service;
    let checked_out = state
        .pool
        .acquire(address, reuse_policy(state, service, outgoing.idempotency));
    let connected = timeout(CONNECT_TIMEOUT, checked_out).await;
    let connection = match connected {
        Ok(Ok(connection)) => connection,
        Ok(Err(error)) if error.is_reset() => return ExchangeResult::Failed(AttemptResult::Closed),
        Ok(Err(error)) => return not_sent(error.to_string()),
        Err(_) => return not_sent("no connection in time".to_string()),
    };
    in_flight.started = state.clock.now();
    in_flight.is_new_connection = !connection.reused;
    if in_flight.is_new_connection
        && is_closed_at_once(state, server, outgoing.idempotency, &connection).await
    {
        return ExchangeResult::Failed(AttemptResult::Closed);
    }
    let mut pooled = PooledConnection::new(&state.pool, address, connection);
    let written_before = pooled.connection_mut().socket.written_bytes();
    let idle = state.clock.now() - pooled.connection_mut().socket.last_read();
    let reused = pooled.connection_mut().reused;
    let recorder =
        reused.then(|| ReuseRecorder::start(&state.idle_limits, service, idle, state.clock));
    let request = build_request(state, server, outgoing);
    outgoing.may_be_sent.set(true);
    let sent = pooled
        .connection_mut()
        .sender
        .try_send_request(request)
        .await;
    match sent {
        Ok(response) => {
            recorder
                .into_iter()
                .for_each(ReuseRecorder::record_response);
            in_flight.reported_load = parse_load(state, response.headers());
            read_response(state, outgoing, pooled, response).await
        }
        Err(error) => {
            recorder
                .into_iter()
                .for_each(ReuseRecorder::record_disconnect);
            let reason = error.into_error().to_string();
            match pooled.connection_mut().socket.written_bytes() > written_before {
                true => ExchangeResult::Failed(AttemptResult::Lost(reason)),
                false => not_sent(reason),
            }
        }
    }
}

/// Whether a server closes a new connection before the request goes out. A server with
/// all the connections that it takes accepts one more and resets it within a round trip:
/// what was written by then may have run, for all that is known. Requests that may run
/// again wait only where the server has refused or lost some lately.
async fn is_closed_at_once(
    state: &TrafficState,
    server: &ServerRecord,
    idempotency: Idempotency,
    connection: &Connection,
) -> bool {
    let is_suspect = state.shared.loads().get(&server.entry.name).is_suspect();
    let should_wait = is_suspect || idempotency == Idempotency::AtMostOnce;
    if should_wait {
        sleep(RESET_WAIT).await;
    }
    should_wait && connection.sender.is_closed()
}

/// Which kept connections a request may go on.
pub fn reuse_policy(
    state: &TrafficState,
    service: &ServiceName,
    idempotency: Idempotency,
) -> Reuse {
    match idempotency {
        Idempotency::Idempotent => Reuse::KeepAliveOr(DEFAULT_IDLE_MAX),
        Idempotency::AtMostOnce => Reuse::ReadWithin(state.idle_limits.limit(service)),
    }
}

fn not_sent(reason: String) -> ExchangeResult {
    ExchangeResult::Failed(AttemptResult::NotSent(reason))
}

fn build_request(
    state: &TrafficState,
    server: &ServerRecord,
    outgoing: &OutgoingRequest<'_>,
) -> Request<UpstreamBody> {
    let mut request = Request::new(UpstreamBody::new(outgoing.body));
    *request.method_mut() = outgoing.head.method.clone();
    *request.uri_mut() = outgoing.head.uri.clone();
    *request.headers_mut() = outgoing.head.headers.clone();
    let remaining = (outgoing.deadline - state.clock.now()).as_millis();
    let headers = request.headers_mut();
    headers.insert(
        state.headers.deadline.clone(),
        HeaderValue::from(remaining as u64),
    );
    if let Ok(name) = HeaderValue::from_str(server.entry.name.id()) {
        headers.insert(state.headers.instance.clone(), name);
    }
    request
}

/// What a server says of its load; figures that cannot be are counted and left.
fn parse_load(state: &TrafficState, headers: &HeaderMap) -> Option<ReportedLoad> {
    let value = headers.get(&state.headers.load)?;
    let load = value.to_str().ok().and_then(|text| text.parse().ok());
    if load.is_none() {
        state.local_metrics.borrow_mut().count_invalid_load();
    }
    load
}

async fn read_response(
    state: &TrafficState,
    outgoing: &OutgoingRequest<'_>,
    mut pooled: PooledConnection,
    response: Response<Incoming>,
) -> ExchangeResult {
    let (mut head, body) = response.into_parts();
    pooled.connection_mut().keep_alive = keep_alive_timeout(&head.headers);
    if !is_response_to(state, outgoing, &head) {
        // A late or doubled answer, or bytes behind one: this request's may come
        // after it, or never.
        return ExchangeResult::Failed(AttemptResult::Lost(
            "not this request's answer".to_string(),
        ));
    }
    // Nobody asked for it: `Upgrade` is not passed on.
    if head.status == StatusCode::SWITCHING_PROTOCOLS {
        return ExchangeResult::Failed(AttemptResult::Lost("a switch of protocols".to_string()));
    }
    if is_refusal(state, &head) {
        let is_misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
        drain_body(pooled, body).await;
        return ExchangeResult::Failed(match is_misdirected {
            true => AttemptResult::Misdirected,
            false => AttemptResult::Refused,
        });
    }
    strip_hop_by_hop(&mut head.headers);
    read_body(head, body, pooled).await
}

fn is_response_to(
    state: &TrafficState,
    outgoing: &OutgoingRequest<'_>,
    head: &http::response::Parts,
) -> bool {
    let name = &state.headers.request_id;
    let sent = outgoing.head.headers.get(name);
    match head.headers.get(name) {
        Some(echoed) => Some(echoed) == sent,
        // Refusals need not name their request, but answers do.
        None => sent.is_none() || is_refusal(state, head),
    }
}

/// Whether the server says that it has not run the request.
fn is_refusal(state: &TrafficState, head: &http::response::Parts) -> bool {
    let is_not_run = head.headers.contains_key(&state.headers.not_run);
    is_not_run || head.status == StatusCode::MISDIRECTED_REQUEST
}

/// Reads the short body of a refusal, so that the connection can be kept.
async fn drain_body(pooled: PooledConnection, body: Incoming) {
    let result = http_body_util::Limited::new(body, BUFFERED_BODY_MAX_BYTES)
        .collect()
        .await;
    if result.is_ok() {
        pooled.return_to_pool();
    }
}

async fn read_body(
    head: http::response::Parts,
    mut body: Incoming,
    pooled: PooledConnection,
) -> ExchangeResult {
    let mut buffer = BytesMut::new();
    while buffer.len() <= BUFFERED_BODY_MAX_BYTES && !body.is_end_stream() {
        match body.frame().await {
            None => break,
            Some(Ok(frame)) => buffer.extend(frame.into_data().unwrap_or_default()),
            Some(Err(error)) => {
                return ExchangeResult::Failed(AttemptResult::Lost(error.to_string()));
            }
        }
    }
    if buffer.len() <= BUFFERED_BODY_MAX_BYTES {
        pooled.return_to_pool();
        return ExchangeResult::Complete(buffered_response(head, buffer));
    }
    let body = StreamingBody {
        prefix: Some(buffer.freeze()),
        rest: body,
        connection: Some(pooled),
        in_flight: None,
    };
    ExchangeResult::Streaming(head, Box::new(body))
}

fn buffered_response(mut head: http::response::Parts, body: BytesMut) -> Response<ResponseBody> {
    // Answers to HEAD and 304s tell the length of a body that they do not have.
    if !body.is_empty() {
        head.headers.remove(header::CONTENT_LENGTH);
    }
    Response::from_parts(head, ResponseBody::buffered(body.freeze()))
}
