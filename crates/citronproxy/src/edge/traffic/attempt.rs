//! One request on one connection to one server.

use {
    super::{
        concurrency::Paced,
        idle_limits::Reused,
        pooled_connection::Kept,
        response::{AnswerBody, Streamed},
        thread::Front,
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
const CONNECT_TIME: Duration = Duration::from_millis(400);
/// How long a request waits on a new connection to a server that may close it at once:
/// a round trip between failure domains, and some.
const SETTLE: Duration = Duration::from_millis(4);
/// A new connection that breaks so soon tells of a server with no room for it; one
/// that is gone takes none at all.
const SOON: Duration = Duration::from_millis(20);
/// How long a kept connection may have been quiet for a request that may be sent
/// again, if the server does not tell how long it keeps it.
const IDLE: Duration = Duration::from_secs(6);
/// Answers up to this size are read whole before anything of them is passed on,
/// so that one that breaks off can be asked for again.
const WHOLE_MAX: usize = 64 * 1_024;

/// What became of one try.
#[derive(Debug)]
pub enum AttemptResult {
    /// An answer to pass on.
    Answered(Response<AnswerBody>),
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
            Self::Answered(answer) => write!(f, "answered {}", answer.status()),
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
pub struct Slot {
    board: Arc<SharedState>,
    room: Rc<Notify>,
    server: ServerName,
    begun: Time,
    /// Whether its connection is a new one.
    fresh: bool,
    /// The part of its time there that it runs.
    share: f64,
    finish: AttemptOutcome,
    clock: crate::clock::Clock,
    /// Where any server of the service would do.
    paced: Option<Paced>,
    /// How long it was planned to take; nothing if it was sent late.
    planned: Option<Duration>,
    /// What the server said of its load.
    told: Option<ReportedLoad>,
}

impl Slot {
    fn new(front: &Front, server: &ServerRecord, message: &Message<'_>) -> Self {
        let mut loads = front.board.loads();
        let name = &server.entry.name;
        let share = run_share(loads.get(name).in_flight(), server.entry.slots);
        loads.begin(name, front.clock.now());
        let begun = front.clock.now();
        let paced = (!message.keyed).then(|| front.paces.begin(&server.entry.service));
        let left = message.objective - begun;
        Self {
            board: Arc::clone(&front.board),
            room: Rc::clone(&front.room),
            server: name.clone(),
            begun,
            fresh: false,
            paced,
            planned: (!left.is_zero()).then(|| left.mul_f64(ON_TIME_SHARE)),
            share,
            told: None,
            finish: AttemptOutcome::Other,
            clock: front.clock,
        }
    }

    /// Ends it with a whole answer.
    pub fn ran(mut self) {
        self.finish = AttemptOutcome::Ran;
    }

    /// What its end tells of the service's room.
    fn speed(&self, span: Duration) -> Timeliness {
        let late = self.planned.map(|planned| span > planned);
        match (self.finish, late) {
            (AttemptOutcome::Full | AttemptOutcome::Closed, _) => Timeliness::Late,
            (AttemptOutcome::Ran, Some(false)) => Timeliness::OnTime,
            // No answer by then, or given up by the caller, tells the same.
            (AttemptOutcome::Ran | AttemptOutcome::Other, Some(true)) => Timeliness::Late,
            _ => Timeliness::Unknown,
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.clock.now();
        let span = now - self.begun;
        let speed = self.speed(span);
        if let Some(paced) = &mut self.paced {
            paced.speed = speed;
        }
        let mut loads = self.board.loads();
        loads.end(&self.server, self.finish, span, self.share, now);
        drop(loads);
        self.room.notify_waiters();
    }
}

/// What is sent.
#[derive(Debug)]
pub struct Message<'a> {
    /// The head, as the caller sent it.
    pub head: &'a Parts,
    /// The body.
    pub source: &'a Rc<CallerBody>,
    /// How often it may run.
    pub repeat: Idempotency,
    /// When its answer loses worth.
    pub objective: Time,
    /// When the caller waits no longer.
    pub deadline: Time,
    /// Whether it goes to the owner of its key.
    pub keyed: bool,
    /// Whether a try is under way that may have reached its server: until a connection
    /// is there, it has not.
    pub written: Cell<bool>,
}

/// Sends a message to a server and reads its answer.
pub async fn send(front: &Front, server: &ServerRecord, message: &Message<'_>) -> AttemptResult {
    let mut slot = Slot::new(front, server, message);
    let end = exchange(front, server, message, &mut slot).await;
    slot.finish = match &end {
        // A streamed answer has taken the slot over, and this one counts nothing.
        Ended::Passed(answer) if answer.status().is_server_error() => AttemptOutcome::Failed,
        Ended::Passed(_) => AttemptOutcome::Ran,
        Ended::Not(AttemptResult::Refused) if slot.told.is_some_and(|told| told.has_room()) => {
            AttemptOutcome::Shed
        }
        Ended::Not(AttemptResult::Refused) => AttemptOutcome::Full,
        Ended::Not(AttemptResult::Closed) => AttemptOutcome::Closed,
        // A server that takes connections and closes them at once is there, and full.
        Ended::Not(AttemptResult::Lost(_))
            if slot.fresh && front.clock.now() - slot.begun < SOON =>
        {
            AttemptOutcome::Closed
        }
        Ended::Not(AttemptResult::NotSent(_) | AttemptResult::Lost(_)) => AttemptOutcome::Lost,
        Ended::Not(_) | Ended::Streaming(..) => AttemptOutcome::Other,
    };
    match end {
        Ended::Passed(answer) => AttemptResult::Answered(answer),
        Ended::Streaming(head, mut streamed) => {
            streamed.slot = Some(slot);
            AttemptResult::Answered(Response::from_parts(head, AnswerBody::Streamed(streamed)))
        }
        Ended::Not(end) => end,
    }
}

enum Ended {
    Passed(Response<AnswerBody>),
    Streaming(http::response::Parts, Box<Streamed>),
    Not(AttemptResult),
}

async fn exchange(
    front: &Front,
    server: &ServerRecord,
    message: &Message<'_>,
    slot: &mut Slot,
) -> Ended {
    let address = server.entry.address;
    let service = &server.entry.service;
    let taken = front
        .pool
        .acquire(address, reuse(front, service, message.repeat));
    let connected = timeout(CONNECT_TIME, taken).await;
    let connection = match connected {
        Ok(Ok(connection)) => connection,
        Ok(Err(error)) if error.is_reset() => return Ended::Not(AttemptResult::Closed),
        Ok(Err(error)) => return not_sent(error.to_string()),
        Err(_) => return not_sent("no connection in time".to_string()),
    };
    slot.begun = front.clock.now();
    slot.fresh = !connection.reused;
    if slot.fresh && is_refused_soon(front, server, message.repeat, &connection).await {
        return Ended::Not(AttemptResult::Closed);
    }
    let mut kept = Kept::new(&front.pool, address, connection);
    let before = kept.connection().socket.written_bytes();
    let idle = front.clock.now() - kept.connection().socket.last_read();
    let reused = kept.connection().reused;
    let reused = reused.then(|| Reused::begin(&front.idles, service, idle, front.clock));
    let request = request(front, server, message);
    message.written.set(true);
    let sent = kept.connection().sender.try_send_request(request).await;
    match sent {
        Ok(response) => {
            reused.into_iter().for_each(Reused::answered);
            slot.told = told_load(front, response.headers());
            read(front, message, kept, response).await
        }
        Err(error) => {
            reused.into_iter().for_each(Reused::broke);
            let reason = error.into_error().to_string();
            match kept.connection().socket.written_bytes() > before {
                true => Ended::Not(AttemptResult::Lost(reason)),
                false => not_sent(reason),
            }
        }
    }
}

/// Whether a server closes a new connection before the request goes out. A server with
/// all the connections that it takes accepts one more and resets it within a round trip:
/// what was written by then may have run, for all that is known. Requests that may run
/// again wait only where the server has refused or lost some lately.
async fn is_refused_soon(
    front: &Front,
    server: &ServerRecord,
    repeat: Idempotency,
    connection: &Connection,
) -> bool {
    let doubted = front.board.loads().get(&server.entry.name).is_suspect();
    let waits = doubted || repeat == Idempotency::AtMostOnce;
    if waits {
        sleep(SETTLE).await;
    }
    waits && connection.sender.is_closed()
}

/// Which kept connections a request may go on.
pub fn reuse(front: &Front, service: &ServiceName, repeat: Idempotency) -> Reuse {
    match repeat {
        Idempotency::Idempotent => Reuse::KeepAliveOr(IDLE),
        Idempotency::AtMostOnce => Reuse::ReadWithin(front.idles.bound(service)),
    }
}

fn not_sent(reason: String) -> Ended {
    Ended::Not(AttemptResult::NotSent(reason))
}

fn request(front: &Front, server: &ServerRecord, message: &Message<'_>) -> Request<UpstreamBody> {
    let mut request = Request::new(UpstreamBody::new(message.source));
    *request.method_mut() = message.head.method.clone();
    *request.uri_mut() = message.head.uri.clone();
    *request.headers_mut() = message.head.headers.clone();
    let left = (message.deadline - front.clock.now()).as_millis();
    let headers = request.headers_mut();
    headers.insert(
        front.headers.deadline.clone(),
        HeaderValue::from(left as u64),
    );
    if let Ok(name) = HeaderValue::from_str(server.entry.name.id()) {
        headers.insert(front.headers.instance.clone(), name);
    }
    request
}

/// What a server says of its load; figures that cannot be are counted and left.
fn told_load(front: &Front, headers: &HeaderMap) -> Option<ReportedLoad> {
    let value = headers.get(&front.headers.load)?;
    let told = value.to_str().ok().and_then(|text| text.parse().ok());
    if told.is_none() {
        front.counts.borrow_mut().count_invalid_load();
    }
    told
}

async fn read(
    front: &Front,
    message: &Message<'_>,
    mut kept: Kept,
    response: Response<Incoming>,
) -> Ended {
    let (mut head, body) = response.into_parts();
    kept.connection().keep_alive = keep_alive_timeout(&head.headers);
    if !is_answer_to(front, message, &head) {
        // A late or doubled answer, or bytes behind one: this request's may come
        // after it, or never.
        return Ended::Not(AttemptResult::Lost("not this request's answer".to_string()));
    }
    // Nobody asked for it: `Upgrade` is not passed on.
    if head.status == StatusCode::SWITCHING_PROTOCOLS {
        return Ended::Not(AttemptResult::Lost("a switch of protocols".to_string()));
    }
    if is_refusal(front, &head) {
        let misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
        drain(kept, body).await;
        return Ended::Not(match misdirected {
            true => AttemptResult::Misdirected,
            false => AttemptResult::Refused,
        });
    }
    strip_hop_by_hop(&mut head.headers);
    collect(head, body, kept).await
}

fn is_answer_to(front: &Front, message: &Message<'_>, head: &http::response::Parts) -> bool {
    let name = &front.headers.request_id;
    let asked = message.head.headers.get(name);
    match head.headers.get(name) {
        Some(echoed) => Some(echoed) == asked,
        // Refusals need not name their request, but answers do.
        None => asked.is_none() || is_refusal(front, head),
    }
}

/// Whether the server says that it has not run the request.
fn is_refusal(front: &Front, head: &http::response::Parts) -> bool {
    let promised = head.headers.contains_key(&front.headers.not_run);
    promised || head.status == StatusCode::MISDIRECTED_REQUEST
}

/// Reads the short body of a refusal, so that the connection can be kept.
async fn drain(kept: Kept, body: Incoming) {
    let end = http_body_util::Limited::new(body, WHOLE_MAX)
        .collect()
        .await;
    if end.is_ok() {
        kept.give();
    }
}

async fn collect(head: http::response::Parts, mut body: Incoming, kept: Kept) -> Ended {
    let mut begin = BytesMut::new();
    while begin.len() <= WHOLE_MAX && !body.is_end_stream() {
        match body.frame().await {
            None => break,
            Some(Ok(frame)) => begin.extend(frame.into_data().unwrap_or_default()),
            Some(Err(error)) => return Ended::Not(AttemptResult::Lost(error.to_string())),
        }
    }
    if begin.len() <= WHOLE_MAX {
        kept.give();
        return Ended::Passed(whole(head, begin));
    }
    let streamed = Streamed {
        begin: Some(begin.freeze()),
        rest: body,
        kept: Some(kept),
        slot: None,
    };
    Ended::Streaming(head, Box::new(streamed))
}

fn whole(mut head: http::response::Parts, body: BytesMut) -> Response<AnswerBody> {
    // Answers to HEAD and 304s tell the length of a body that they do not have.
    if !body.is_empty() {
        head.headers.remove(header::CONTENT_LENGTH);
    }
    Response::from_parts(head, AnswerBody::whole(body.freeze()))
}
