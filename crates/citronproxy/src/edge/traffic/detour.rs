//! Detours: requests sent through another instance, for servers that do not respond to this
//! one.

use {
    super::{
        attempt::{ExchangeResult, OutgoingRequest, outgoing_request, read_body, response_origin},
        pooled_connection::PooledConnection,
        response::ResponseBody,
        sent_mark::SentMark,
        thread::TrafficState,
    },
    crate::{
        edge::view::View,
        traffic::{pool::Reuse, request::strip_hop_by_hop},
    },
    citron_core::{
        id::{InstanceId, ServerName},
        request::{DetourEnd, DetourPeer, means_not_run},
        routes::Idempotency,
        time::Time,
    },
    citron_ports::is_final_status,
    http::{HeaderName, HeaderValue, Response, StatusCode},
    rand::seq::IteratorRandom,
    std::{collections::BTreeMap, fmt, time::Duration},
    tokio::time::timeout,
};

/// Time limit for opening a connection to another instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Header of a rejection by an instance to which the servers do not respond either. It never
/// reaches a client.
const UNREACHED: HeaderName = HeaderName::from_static("citron-unreached");
/// Time for which no request takes a detour to a server that another instance did not reach
/// either.
const UNREACHED_TIME: Duration = Duration::from_millis(500);
/// Largest number of requests of other instances in progress at this one. Its own callers
/// come first.
pub const GUESTS_MAX: usize = 64;

/// Result of a detour.
#[derive(Debug)]
pub enum DetourResult {
    /// The other instance responded for the client.
    Responded(Response<ResponseBody>),
    /// The servers do not respond to the other instance either. The request has not run.
    Unreached(Response<ResponseBody>),
    /// No byte of the request was sent.
    NotSent(String),
    /// The request was sent, and it is unknown whether it has run.
    Lost(String),
}

impl DetourResult {
    /// Whether this ends the request, so that an attempt beside it is given up.
    pub fn is_final(&self) -> bool {
        matches!(self, Self::Responded(response) if !means_not_run(response.status().as_u16()))
    }

    /// The end of the attempt by which the next step is decided.
    pub fn into_end(self) -> DetourEnd<Response<ResponseBody>> {
        match self {
            Self::Responded(response) => DetourEnd::Responded(response.status().as_u16(), response),
            Self::Unreached(response) => DetourEnd::Unreached(response),
            Self::NotSent(_) => DetourEnd::NotSent,
            Self::Lost(_) => DetourEnd::Lost,
        }
    }
}

impl fmt::Display for DetourResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Responded(response) => write!(f, "status {}", response.status()),
            Self::Unreached(_) => f.write_str("the servers do not respond there either"),
            Self::NotSent(reason) => write!(f, "not sent: {reason}"),
            Self::Lost(reason) => write!(f, "lost: {reason}"),
        }
    }
}

/// Servers that other instances did not reach either, and until when that counts.
#[derive(Debug, Default)]
pub struct UnreachedServers(BTreeMap<ServerName, Time>);

impl UnreachedServers {
    /// Records that another instance did not reach a server.
    pub fn insert(&mut self, server: ServerName, now: Time) {
        self.0.retain(|_, until| *until > now);
        self.0.insert(server, now + UNREACHED_TIME);
    }

    /// Whether a detour to the server was in vain lately.
    pub fn contains(&self, server: &ServerName, now: Time) -> bool {
        self.0.get(server).is_some_and(|until| *until > now)
    }
}

/// Another instance that may reach the servers, in the own failure domain if there is one.
pub fn choose_peer(view: &View, tried: &[InstanceId]) -> Option<DetourPeer> {
    let untried = |peer: &&DetourPeer| !tried.contains(&peer.instance);
    let mut rng = rand::rng();
    let peers = view.detours.iter().filter(untried);
    let near = peers.clone().filter(|peer| peer.is_near).choose(&mut rng);
    near.or_else(|| peers.choose(&mut rng)).cloned()
}

/// Marks a rejection, so that the sending instance tries another one.
pub fn mark_unreached(response: &mut Response<ResponseBody>) {
    let value = HeaderValue::from_static("1");
    response.headers_mut().insert(UNREACHED, value);
}

/// Names the request in the response to another instance, which could otherwise be that to any
/// request.
pub fn name_request(
    state: &TrafficState,
    request_id: Option<HeaderValue>,
    response: &mut Response<ResponseBody>,
) {
    let name = &state.headers.request_id;
    if let Some(id) = request_id {
        let headers = response.headers_mut();
        headers.entry(name).or_insert(id);
    }
}

/// Sends a request through another instance and reads the response.
pub async fn send(
    state: &TrafficState,
    peer: &DetourPeer,
    outgoing: &OutgoingRequest<'_>,
) -> DetourResult {
    let reuse = match outgoing.idempotency {
        Idempotency::Idempotent => Reuse::ANY,
        Idempotency::AtMostOnce => Reuse::RECENT,
    };
    let connection = timeout(
        CONNECT_TIMEOUT,
        state.pool.acquire(peer.address, reuse, &[]),
    )
    .await;
    let connection = match connection {
        Ok(Ok(connection)) => connection,
        Ok(Err(error)) => return DetourResult::NotSent(error.to_string()),
        Err(_) => return DetourResult::NotSent("timed out connecting".to_string()),
    };
    let mut pooled = PooledConnection::new(&state.pool, peer.address, connection, outgoing.body);
    let mark = SentMark::new(&outgoing.sent, pooled.connection_mut());
    let request = outgoing_request(state, outgoing);
    let sent = pooled.connection_mut().send(request);
    let response = match sent.await {
        Ok(response) => response,
        Err(error) => {
            let reason = error.into_error().to_string();
            return match mark.is_sent() {
                true => DetourResult::Lost(reason),
                false => DetourResult::NotSent(reason),
            };
        }
    };
    let (mut head, body) = response.into_parts();
    if !is_final_status(head.status) {
        return DetourResult::Lost(format!("status {} is not final", head.status));
    }
    let is_first = !pooled.connection_mut().is_reused;
    let origin = response_origin(state, outgoing, &head, is_first);
    if !origin.belongs(!outgoing.has_id(state) || is_first) {
        let reason = "received the response to another request";
        return DetourResult::Lost(reason.to_string());
    }
    // An instance never forwards a 503 of a server, which could bear the mark as well.
    let is_rejection = head.status == StatusCode::SERVICE_UNAVAILABLE;
    let is_unreached = is_rejection && head.headers.remove(UNREACHED).is_some();
    strip_hop_by_hop(&mut head.headers);
    let remaining = outgoing.client_deadline - state.clock.now();
    let response = match read_body(head, body, pooled, remaining).await {
        ExchangeResult::Complete(response) => response,
        ExchangeResult::Streaming(head, body) => {
            Response::from_parts(head, ResponseBody::Streaming(body))
        }
        ExchangeResult::Failed(result) => return DetourResult::Lost(result.to_string()),
    };
    match is_unreached {
        true => DetourResult::Unreached(response),
        false => DetourResult::Responded(response),
    }
}
