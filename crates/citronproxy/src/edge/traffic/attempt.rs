//! One attempt: a request sent to one server on one connection.

use {
    super::{
        concurrency::ConcurrencyPermit,
        idle_limits::ReuseRecorder,
        pooled_connection::PooledConnection,
        response::{ResponseBody, StreamingBody},
        sent_mark::{SentMark, SentRecord},
        slot::SlotLease,
        thread::TrafficState,
    },
    crate::{
        edge::{shared::SharedState, statements},
        events,
        traffic::{
            pool::{Connection, ConnectionId, Reuse},
            request::{keep_alive_timeout, strip_hop_by_hop},
            request_body::{ClientBody, UpstreamBody},
        },
    },
    bytes::BytesMut,
    citron_core::{
        dispatch::{
            AttemptOutcome, Failure, LimitStatement, ON_TIME_SHARE, ReportedLoad, Timeliness,
            run_share,
        },
        id::{ServerName, ServiceName},
        registry::ServerRecord,
        request::{AttemptEnd, NamedRequest, RefusalProof, ResponseOrigin},
        routes::Idempotency,
        slots::SlotOutcome,
        time::Time,
    },
    citron_ports::is_final_status,
    http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header, request::Parts},
    http_body_util::BodyExt,
    hyper::body::{Body, Incoming},
    std::{
        cell::{Cell, RefCell},
        fmt,
        pin::pin,
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::{
        sync::Notify,
        time::{sleep, timeout},
    },
};

/// Time limit for opening a connection. Servers are about a millisecond away, and an
/// overloaded or unreachable server accepts no connections.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which a request is held back on a new connection that the server may reset at
/// once: one round trip between failure domains, and a margin.
const RESET_WAIT: Duration = Duration::from_millis(4);
/// A new connection that fails within this time shows that the server's connection limit
/// is reached. A server that is down accepts no connection at all.
const IMMEDIATE_RESET_MAX: Duration = Duration::from_millis(20);
/// Time without a response after which a server counts as not responding, if no other one
/// responds meanwhile either.
const SILENCE_MAX: Duration = Duration::from_millis(800);
/// The same for a connection that is being opened, which takes milliseconds unless packets
/// are lost.
const CONNECT_SILENCE_MAX: Duration = Duration::from_millis(150);
/// Longest idle time of a connection that an idempotent request may reuse if the server
/// announces no keep-alive timeout.
const DEFAULT_IDLE_MAX: Duration = Duration::from_secs(6);
/// Longest wait for the rest of a refusal, so that its connection can be used again.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(50);
/// Responses up to this size are buffered completely before any of it is forwarded, so
/// that the request can be retried if the connection fails in between.
const BUFFERED_BODY_MAX_BYTES: usize = 64 * 1_024;

/// Result of an attempt.
#[derive(Debug)]
pub enum AttemptResult {
    /// The server sent a response, which can be forwarded.
    Responded(Response<ResponseBody>),
    /// The server guaranteed that the request has not run. Without a proof, the refusal may
    /// belong to another request.
    Refused(Option<RefusalProof>),
    /// The address belongs to another start of the server, or the server does not own the
    /// key. The request has not run.
    Misdirected(Option<RefusalProof>),
    /// No byte of the request was sent.
    NotSent(String),
    /// The server closed a new connection before anything was sent on it: its connection
    /// limit is reached.
    Closed,
    /// The request was sent, and it is unknown whether it has run.
    Lost(String),
}

impl AttemptResult {
    /// The proof of a refusal, for logs, with a space before; empty if it is no refusal.
    pub fn proof_text(&self) -> String {
        match self {
            Self::Refused(proof) | Self::Misdirected(proof) => {
                format!(" proof={}", RefusalProof::name(*proof))
            }
            _ => String::new(),
        }
    }

    /// The end of the attempt by which the next step is decided.
    pub fn into_end(self) -> AttemptEnd<Response<ResponseBody>> {
        match self {
            Self::Responded(response) => {
                AttemptEnd::Responded(response.status().as_u16(), response)
            }
            Self::Refused(proof) => AttemptEnd::Refused(proof),
            Self::Misdirected(proof) => AttemptEnd::Misdirected(proof),
            Self::NotSent(_) | Self::Closed => AttemptEnd::NotSent,
            Self::Lost(_) => AttemptEnd::Lost,
        }
    }
}

impl fmt::Display for AttemptResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Responded(response) => {
                write!(f, "server responded with status {}", response.status())
            }
            Self::Refused(_) => f.write_str("refused, not run"),
            Self::Misdirected(_) => f.write_str("not the owner, not run"),
            Self::NotSent(reason) => write!(f, "not sent: {reason}"),
            Self::Closed => f.write_str("not sent: server closed the new connection"),
            Self::Lost(reason) => write!(f, "lost: {reason}"),
        }
    }
}

/// Counts a request as in flight at a server until it is dropped, and records the
/// outcome.
#[derive(Debug)]
pub struct InFlightGuard {
    shared: Arc<SharedState>,
    capacity_freed: Rc<Notify>,
    server: ServerName,
    started: Time,
    /// Whether the connection was opened for this attempt.
    is_new_connection: bool,
    /// Fraction of the attempt during which the request is expected to run, rather than
    /// to wait for a slot of the server.
    run_fraction: f64,
    outcome: AttemptOutcome,
    clock: crate::clock::Clock,
    /// Permit of the service's concurrency limit; `None` if the request has a key.
    permit: Option<ConcurrencyPermit>,
    /// Time within which a response counts as on time; `None` if the latency objective
    /// had already passed.
    response_limit: Option<Duration>,
    /// Load that the server reported with its response.
    reported_load: Option<ReportedLoad>,
    /// Slot of the server, if its broker has granted one.
    slot: Option<SlotLease>,
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
            slot: None,
            outcome: AttemptOutcome::Other,
            clock: state.clock,
        }
    }

    /// Server that the request was sent to.
    pub fn server(&self) -> &ServerName {
        &self.server
    }

    /// Ends the guard after the response was read to its end.
    pub fn complete(mut self) {
        self.outcome = AttemptOutcome::Ran;
    }

    /// What the broker of the server learns of the attempt; `None` if it was given up.
    fn slot_outcome(&self, span: Duration) -> Option<SlotOutcome> {
        let load = self.reported_load;
        match self.outcome {
            AttemptOutcome::Ran | AttemptOutcome::Failed => Some(SlotOutcome::Ran { span, load }),
            AttemptOutcome::Full | AttemptOutcome::Shed => Some(SlotOutcome::Refused { load }),
            AttemptOutcome::Closed | AttemptOutcome::Lost => Some(SlotOutcome::Failed),
            AttemptOutcome::Other => None,
        }
    }

    /// Timeliness of the attempt, by which the concurrency limit is adjusted.
    fn timeliness(&self, elapsed: Duration) -> Timeliness {
        let is_late = self.response_limit.map(|limit| elapsed > limit);
        match (self.outcome, is_late) {
            (AttemptOutcome::Full | AttemptOutcome::Closed, _) => Timeliness::Late,
            (AttemptOutcome::Ran, Some(false)) => Timeliness::OnTime,
            // A request without a response by then counts the same, also if the client
            // canceled it.
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
        if let (Some(outcome), Some(slot)) = (self.slot_outcome(elapsed), self.slot.take()) {
            slot.close(outcome);
        }
        self.capacity_freed.notify_waiters();
    }
}

/// A client's request as it is sent to servers.
#[derive(Debug)]
pub struct OutgoingRequest<'a> {
    /// Head of the request, prepared for forwarding.
    pub head: &'a Parts,
    /// Body of the request.
    pub body: &'a Rc<ClientBody>,
    /// Whether the request may run more than once.
    pub idempotency: Idempotency,
    /// Time by which the latency objective expects the response.
    pub objective: Time,
    /// Time at which the client stops waiting, or its route's timeout ends.
    pub deadline: Time,
    /// Time at which the client stops waiting. A response that has begun may take until then.
    pub client_deadline: Time,
    /// Whether the request has a key and therefore goes to the owner of the key.
    pub is_keyed: bool,
    /// What the current attempt has written. It is set when the exchange ends or is dropped.
    pub sent: Cell<Option<SentRecord>>,
    /// Connections that have carried the request. A second response to an earlier attempt may
    /// arrive there, and looks like that to a later one.
    pub carriers: RefCell<Vec<ConnectionId>>,
}

impl OutgoingRequest<'_> {
    /// Whether the client has given the request an id.
    pub fn has_id(&self, state: &TrafficState) -> bool {
        self.head.headers.contains_key(&state.headers.request_id)
    }

    /// Records a connection that is about to carry the request. One that may run twice takes
    /// any response.
    fn record_carrier(&self, connection: ConnectionId) {
        if self.idempotency == Idempotency::AtMostOnce {
            self.carriers.borrow_mut().push(connection);
        }
    }
}

/// Sends a request to a server and reads the response. `slot` is held until the response has
/// been read to its end.
pub async fn send(
    state: &TrafficState,
    server: &ServerRecord,
    outgoing: &OutgoingRequest<'_>,
    slot: Option<SlotLease>,
) -> AttemptResult {
    let mut in_flight = InFlightGuard::new(state, server, outgoing);
    in_flight.slot = slot;
    let result = exchange(state, server, outgoing, &mut in_flight).await;
    in_flight.outcome = match &result {
        // A streamed response takes the guard over and sets the outcome at the end of its
        // body. Until then the outcome is `Other`, which says nothing about the server.
        ExchangeResult::Complete(response) if response.status().is_server_error() => {
            AttemptOutcome::Failed
        }
        ExchangeResult::Complete(_) => AttemptOutcome::Ran,
        ExchangeResult::Failed(AttemptResult::Refused(_))
            if in_flight.reported_load.is_some_and(|load| load.has_room()) =>
        {
            AttemptOutcome::Shed
        }
        ExchangeResult::Failed(AttemptResult::Refused(_)) => AttemptOutcome::Full,
        ExchangeResult::Failed(AttemptResult::Closed) => AttemptOutcome::Closed,
        // A server that accepts a connection and closes it at once is running, and has
        // reached its connection limit.
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

/// Result of an exchange on a connection.
pub enum ExchangeResult {
    /// The response was received completely.
    Complete(Response<ResponseBody>),
    /// The response is larger than [`BUFFERED_BODY_MAX_BYTES`]; the rest of its body
    /// follows.
    Streaming(http::response::Parts, Box<StreamingBody>),
    /// There is no response to forward.
    Failed(AttemptResult),
}

/// Opens or reuses a connection, sends the request and reads the response.
async fn exchange(
    state: &TrafficState,
    server: &ServerRecord,
    outgoing: &OutgoingRequest<'_>,
    in_flight: &mut InFlightGuard,
) -> ExchangeResult {
    let address = server.entry.address;
    let service = &server.entry.service;
    let carriers = outgoing.carriers.borrow().clone();
    let reuse = reuse_policy(state, service, outgoing.idempotency);
    let checked_out = state.pool.acquire(address, reuse, &carriers);
    let started = state.clock.now();
    let connected = timeout(CONNECT_TIMEOUT, checked_out);
    let silence = (CONNECT_SILENCE_MAX, Failure::Unreachable);
    let connected = watch_silence(state, server, started, silence, connected).await;
    let connection = match connected {
        Ok(Ok(connection)) => connection,
        Ok(Err(error)) if error.is_reset() => {
            record_failure(state, server, Failure::Failing, started);
            return ExchangeResult::Failed(AttemptResult::Closed);
        }
        Ok(Err(error)) => {
            record_failure(state, server, Failure::Unreachable, started);
            return not_sent(error.to_string());
        }
        Err(_) => {
            record_failure(state, server, Failure::Unreachable, started);
            return not_sent("timed out connecting to the server".to_string());
        }
    };
    in_flight.started = state.clock.now();
    in_flight.is_new_connection = !connection.is_reused;
    if in_flight.is_new_connection
        && is_closed_at_once(state, server, outgoing.idempotency, &connection).await
    {
        record_failure(state, server, Failure::Failing, started);
        return ExchangeResult::Failed(AttemptResult::Closed);
    }
    outgoing.record_carrier(connection.id);
    let mut pooled = PooledConnection::new(&state.pool, address, connection, outgoing.body);
    let mark = SentMark::new(&outgoing.sent, pooled.connection_mut());
    let idle = state.clock.now() - pooled.connection_mut().socket.last_read();
    let reused = pooled.connection_mut().is_reused;
    let recorder =
        reused.then(|| ReuseRecorder::start(&state.idle_limits, service, idle, state.clock));
    let request = build_request(state, server, outgoing);
    let sent = pooled.connection_mut().send(request);
    let silence = (SILENCE_MAX, Failure::Failing);
    let sent = match outgoing.body.is_complete() {
        true => watch_silence(state, server, in_flight.started, silence, sent).await,
        // The server may wait for the rest of the body before it responds.
        false => sent.await,
    };
    match sent {
        Ok(response) => {
            let now = state.clock.now();
            state.shared.record_response(&server.entry.name, now);
            recorder
                .into_iter()
                .for_each(ReuseRecorder::record_response);
            in_flight.reported_load = parse_load(state, response.headers());
            read_response(state, server, outgoing, pooled, response).await
        }
        Err(error) => {
            recorder
                .into_iter()
                .for_each(ReuseRecorder::record_disconnect);
            record_failure(state, server, Failure::Failing, in_flight.started);
            let reason = error.into_error().to_string();
            match mark.is_sent() {
                true => ExchangeResult::Failed(AttemptResult::Lost(reason)),
                false => not_sent(reason),
            }
        }
    }
}

/// Waits for a connection or a response, and records a failure of the server when it has been
/// silent for this long.
async fn watch_silence<T>(
    state: &TrafficState,
    server: &ServerRecord,
    started: Time,
    (silence_max, failure): (Duration, Failure),
    response: impl Future<Output = T>,
) -> T {
    let mut response = pin!(response);
    if let Ok(response) = timeout(silence_max, &mut response).await {
        return response;
    }
    let now = state.clock.now();
    let name = &server.entry.name;
    state.shared.record_silence(name, failure, started, now);
    response.await
}

fn record_failure(state: &TrafficState, server: &ServerRecord, failure: Failure, started: Time) {
    let now = state.clock.now();
    let name = &server.entry.name;
    state.shared.record_failure(name, failure, started, now);
}

/// Whether the server closes a new connection before the request is sent.
///
/// A server at its connection limit accepts one more connection and resets it within a
/// round trip. A request that was already written by then may have run, as far as this
/// instance can tell. Requests that must not run twice therefore always wait for
/// [`RESET_WAIT`]; idempotent ones wait only if the server has refused or lost requests
/// lately.
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

/// Idle connections that a request may reuse.
pub fn reuse_policy(
    state: &TrafficState,
    service: &ServiceName,
    idempotency: Idempotency,
) -> Reuse {
    match idempotency {
        Idempotency::Idempotent => Reuse::KeepAliveOr(DEFAULT_IDLE_MAX),
        Idempotency::AtMostOnce => {
            let refusals = state.unnamed_refusals.borrow();
            match refusals.are_expected(service, state.clock.now()) {
                true => Reuse::Never,
                false => Reuse::ReadWithin(state.idle_limits.limit(service)),
            }
        }
    }
}

fn not_sent(reason: String) -> ExchangeResult {
    ExchangeResult::Failed(AttemptResult::NotSent(reason))
}

/// The request for the server, with the name of the server start in its headers.
fn build_request(
    state: &TrafficState,
    server: &ServerRecord,
    outgoing: &OutgoingRequest<'_>,
) -> Request<UpstreamBody> {
    let mut request = outgoing_request(state, outgoing);
    if let Ok(name) = HeaderValue::from_str(server.entry.name.id()) {
        let headers = request.headers_mut();
        headers.insert(state.headers.expected_start.clone(), name);
    }
    request
}

/// The request with the remaining time in its headers.
pub fn outgoing_request(
    state: &TrafficState,
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
    request
}

/// Load that the server reported in its response. An invalid value is counted and
/// ignored.
fn parse_load(state: &TrafficState, headers: &HeaderMap) -> Option<ReportedLoad> {
    let value = headers.get(&state.headers.load)?;
    let load = value.to_str().ok().and_then(|text| text.parse().ok());
    if load.is_none() {
        state.local_metrics.borrow_mut().count_invalid_load();
    }
    load
}

/// Records the rate limit that a server states in a response. An invalid value is counted
/// and ignored.
fn record_limit(state: &TrafficState, server: &ServerName, head: &http::response::Parts) {
    let statement = match statements::parse_limit(&state.headers, &head.headers) {
        Ok(Some(rate)) => LimitStatement::Limited(rate),
        // A refusal may come from another process at the server's address.
        Ok(None) if is_refusal(state, head) => return,
        Ok(None) => LimitStatement::Unlimited,
        Err(_) => return state.local_metrics.borrow_mut().count_invalid_limit(),
    };
    statements::record_limit(&state.shared, server, statement, state.clock.now());
}

/// Records that a server leaves, if its response says so and the view does not show it yet.
fn record_leaving(state: &TrafficState, server: &ServerRecord, head: &http::response::Parts) {
    if server.is_listed() && statements::is_leaving(&state.headers, &head.headers) {
        let now = state.clock.now();
        state.shared.record_leaving(&server.entry.name, now);
    }
}

/// Records that a server asks for rest, if its response says so. An invalid time is counted
/// and ignored.
fn record_rest(state: &TrafficState, server: &ServerRecord, head: &http::response::Parts) {
    let name = &server.entry.name;
    match statements::parse_rest(head.status, &head.headers) {
        Ok(Some(rest)) => statements::record_rest(&state.shared, name, rest, state.clock.now()),
        Ok(None) => {}
        Err(error) => {
            log::debug!("Retry-After of {name}: {error}");
            state.local_metrics.borrow_mut().count_invalid_rest();
        }
    }
}

/// Records a response with two statements of its length, of which one is ignored.
fn record_ignored_length(
    state: &TrafficState,
    server: &ServerRecord,
    head: &http::response::Parts,
) {
    let headers = &head.headers;
    if headers.contains_key(header::TRANSFER_ENCODING)
        && headers.contains_key(header::CONTENT_LENGTH)
    {
        state.local_metrics.borrow_mut().count_ignored_length();
        let (event, name) = (events::LENGTH_IGNORED, &server.entry.name);
        log::warn!("{event} server={name}: both Transfer-Encoding and Content-Length");
    }
}

/// Checks the response head, and reads the body up to the size that is buffered.
async fn read_response(
    state: &TrafficState,
    server: &ServerRecord,
    outgoing: &OutgoingRequest<'_>,
    mut pooled: PooledConnection,
    response: Response<Incoming>,
) -> ExchangeResult {
    let (mut head, body) = response.into_parts();
    if !is_final_status(head.status) {
        let reason = format!("status {} is not final", head.status);
        return ExchangeResult::Failed(AttemptResult::Lost(reason));
    }
    let is_first = !pooled.connection_mut().is_reused;
    pooled.connection_mut().keep_alive = keep_alive_timeout(&head.headers);
    let origin = ResponseOrigin {
        is_other_process: is_other_process(state, server, &head),
        ..response_origin(state, outgoing, &head, is_first)
    };
    // Refusals need not echo the request id, but other responses must.
    if !origin.belongs(!outgoing.has_id(state) || is_refusal(state, &head)) {
        // This is a late or duplicate response, or it was parsed from excess bytes behind
        // one. The response to this request may still follow, or never come.
        return ExchangeResult::Failed(AttemptResult::Lost(
            "received the response to another request".to_string(),
        ));
    }
    record_limit(state, &server.entry.name, &head);
    record_leaving(state, server, &head);
    record_rest(state, server, &head);
    if is_refusal(state, &head) {
        let is_misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
        let proof = origin.refusal_proof();
        record_refusal(state, &server.entry.service, origin);
        // Without an id, a copy of it could not be told from a response to the next request.
        if !is_misdirected || proof == Some(RefusalProof::Id) {
            drain_body(pooled, body).await;
        }
        return ExchangeResult::Failed(match is_misdirected {
            true => AttemptResult::Misdirected(proof),
            false => AttemptResult::Refused(proof),
        });
    }
    record_ignored_length(state, server, &head);
    strip_hop_by_hop(&mut head.headers);
    read_body(
        head,
        body,
        pooled,
        outgoing.client_deadline - state.clock.now(),
    )
    .await
}

/// What the response tells of its origin, other than its process. `is_first` tells whether the
/// connection has carried no request before.
pub fn response_origin(
    state: &TrafficState,
    outgoing: &OutgoingRequest<'_>,
    head: &http::response::Parts,
    is_first: bool,
) -> ResponseOrigin {
    let names = &state.headers;
    let sent = outgoing.head.headers.get(&names.request_id);
    let mut echoed = head.headers.get_all(&names.request_id).iter();
    ResponseOrigin {
        request: match head.headers.contains_key(&names.request_id) {
            true if echoed.all(|id| Some(id) == sent) => NamedRequest::Current,
            true => NamedRequest::Other,
            false => NamedRequest::Missing,
        },
        is_first,
        is_other_process: false,
    }
}

/// Whether the response names a process other than the server.
fn is_other_process(
    state: &TrafficState,
    server: &ServerRecord,
    head: &http::response::Parts,
) -> bool {
    let process = head.headers.get(&state.headers.server_start);
    process.is_some_and(|process| process.as_bytes() != server.entry.name.id().as_bytes())
}

/// Counts a refusal, and records whether servers of the service name the requests they refuse.
fn record_refusal(state: &TrafficState, service: &ServiceName, origin: ResponseOrigin) {
    let mut metrics = state.local_metrics.borrow_mut();
    metrics.count_refusal(origin.refusal_proof());
    let mut refusals = state.unnamed_refusals.borrow_mut();
    refusals.record(service, origin, state.clock.now());
}

/// Whether the server guarantees that it has not run the request.
fn is_refusal(state: &TrafficState, head: &http::response::Parts) -> bool {
    let is_not_run = head.headers.contains_key(&state.headers.not_executed);
    is_not_run || head.status == StatusCode::MISDIRECTED_REQUEST
}

/// Reads the short body of a refusal, so that the connection can be reused.
async fn drain_body(pooled: PooledConnection, body: Incoming) {
    let body = http_body_util::Limited::new(body, BUFFERED_BODY_MAX_BYTES);
    match timeout(DRAIN_TIMEOUT, body.collect()).await {
        Ok(Ok(_)) => pooled.return_to_pool(),
        Ok(Err(error)) => log::debug!("body of a refusal: {error}"),
        Err(error) => log::debug!("body of a refusal: {error}"),
    }
}

/// Buffers a small body completely. A larger one is streamed after its buffered first
/// part, for as long as the client waits.
pub async fn read_body(
    head: http::response::Parts,
    mut body: Incoming,
    mut pooled: PooledConnection,
    remaining: Duration,
) -> ExchangeResult {
    let mut buffer = BytesMut::new();
    while buffer.len() <= BUFFERED_BODY_MAX_BYTES && !body.is_end_stream() {
        match body.frame().await {
            None => break,
            Some(Ok(frame)) => {
                pooled.connection_mut().socket.record_progress();
                buffer.extend(frame.into_data().unwrap_or_default());
            }
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
        deadline: Box::pin(sleep(remaining)),
    };
    ExchangeResult::Streaming(head, Box::new(body))
}

fn buffered_response(mut head: http::response::Parts, body: BytesMut) -> Response<ResponseBody> {
    // Responses to HEAD and those with status 304 give the length of a body that they do
    // not carry.
    if !body.is_empty() {
        head.headers.remove(header::CONTENT_LENGTH);
    }
    Response::from_parts(head, ResponseBody::buffered(body.freeze()))
}
