//! Handles a client's request: finds its route, reads its body and forwards it.

use {
    super::{
        active_request::ActiveRequest,
        attempt::OutgoingRequest,
        denial::{Denial, refuse},
        detour::{GUESTS_MAX, mark_unreached, name_request},
        request_log::RequestLog,
        request_scope::RequestScope,
        response::ResponseBody,
        thread::TrafficState,
    },
    crate::{
        edge::view::View,
        traffic::{
            guard::Refusal,
            request::{host, prepare_forward},
            request_body::ClientBody,
        },
    },
    citron_core::{
        ranges::RangeKey,
        request::{Origin, RequestProgress, RequestTraits},
        routes::{Idempotency, RouteConfig, RouteRule},
        time::Time,
    },
    http::{HeaderName, HeaderValue, Response, header, request::Parts},
    hyper::body::Incoming,
    rand::Rng,
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        str::FromStr,
        sync::Arc,
        time::Duration,
    },
    tokio::time::timeout,
};

/// Time after the start within which an instance usually has its first view.
const FIRST_VIEW_TIME: Duration = Duration::from_millis(1_500);
/// Longest time for which a request waits for the first view.
const FIRST_VIEW_WAIT_MAX: Duration = Duration::from_millis(400);
/// Timeout of a request whose client sends no deadline.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the response to a client's request. While the instance is leaving, the
/// response also closes the client's connection.
pub async fn handle_request(
    state: Rc<TrafficState>,
    origin: Origin,
    head: Parts,
    body: Option<Incoming>,
) -> Response<ResponseBody> {
    let mut response = match origin {
        Origin::Client => route_request(&state, origin, head, body).await,
        Origin::Peer => {
            let id = head.headers.get(&state.headers.request_id).cloned();
            let mut response = serve_guest(&state, head, body).await;
            name_request(&state, id, &mut response);
            response
        }
    };
    if *state.leaving.borrow() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Handles a request of a caller of another instance, unless there are too many of them.
async fn serve_guest(
    state: &TrafficState,
    head: Parts,
    body: Option<Incoming>,
) -> Response<ResponseBody> {
    let guests = state.guests.get();
    if guests >= GUESTS_MAX {
        let mut response = refuse(state, &head, None, "too many requests of other instances");
        mark_unreached(&mut response);
        return response;
    }
    state.guests.set(guests + 1);
    let _guest = Guest(&state.guests);
    route_request(state, Origin::Peer, head, body).await
}

/// Counts a request of another instance until it is dropped.
struct Guest<'a>(&'a Cell<usize>);

impl Drop for Guest<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Whether a request may start before the response to the previous request on its
/// connection is sent. It may have to run again if the connection closes before its
/// response is sent, so that it has to be idempotent. The instance must not be leaving,
/// as it then closes connections soon.
pub fn can_pipeline(state: &TrafficState, head: &Parts) -> bool {
    let view = state.shared.view();
    let rule = view
        .as_ref()
        .and_then(|view| view.config.rule(host(head), head.uri.path()));
    let is_idempotent = rule.is_some_and(|rule| rule.idempotency == Idempotency::Idempotent);
    is_idempotent && !*state.leaving.borrow()
}

/// Finds the route of a request and forwards it, or returns the response that this
/// instance generates.
async fn route_request(
    state: &TrafficState,
    origin: Origin,
    mut head: Parts,
    body: Option<Incoming>,
) -> Response<ResponseBody> {
    let started = state.clock.now();
    match Refusal::from_path(head.uri.path()) {
        None => {}
        Some(Refusal::BufferTooSmall) => {
            return refuse(state, &head, None, &Refusal::BufferTooSmall.to_string());
        }
        Some(refusal) => return Denial::InvalidMessage(refusal).response(state, &head, None),
    }
    let Some(view) = wait_for_view(state).await else {
        return refuse(state, &head, None, "no configuration is known yet");
    };
    let config = &view.config;
    let deny = |denial: Denial, head| denial.response(state, head, Some(config.version));
    let Some(rule) = config.rule(host(&head), head.uri.path()) else {
        return deny(Denial::NoRoute, &head);
    };
    let client_timeout = client_timeout(state, &head);
    let deadline = started + client_timeout.min(rule.timeout);
    let body = ClientBody::new(body, config.limits.max_body_bytes, &state.buffers);
    if body.declared_length() > config.limits.max_body_bytes {
        return deny(Denial::BodyTooLarge, &head);
    }
    let reason = tokio::select! {
        biased;
        prefix = timeout(deadline - started, body.buffer_prefix()) => match prefix {
            Ok(()) => None,
            Err(_) => Some("its body did not come before its deadline"),
        },
        () = state.until_too_late(deadline) => {
            Some("its body did not come before this instance shuts down")
        }
    };
    if let Some(reason) = reason {
        return refuse(state, &head, Some(config.version), reason);
    }
    if let Some(denial) = body_error(&body) {
        return deny(denial, &head);
    }
    prepare_forward(&mut head);
    let received = Received {
        origin,
        head: &head,
        body: &body,
        started,
        deadline,
        client_timeout,
    };
    let response = forward(state, config, rule, received).await;
    match body_error(&body) {
        Some(Denial::BodyTooLarge) => deny(Denial::BodyTooLargeAfterSend, &head),
        Some(denial) => deny(denial, &head),
        None => response,
    }
}

/// The current view. Shortly after the start, waits for the first one: clients that are
/// refused retry only once, and late.
async fn wait_for_view(state: &TrafficState) -> Option<Arc<View>> {
    let mut view_updates = state.shared.subscribe_views();
    if let Some(view) = state.shared.view() {
        return Some(view);
    }
    let remaining = FIRST_VIEW_TIME.saturating_sub(state.clock.now() - state.started);
    // A timeout has the same effect as no view.
    let _ = timeout(remaining.min(FIRST_VIEW_WAIT_MAX), view_updates.changed()).await;
    state.shared.view()
}

/// A request as it was received.
struct Received<'a> {
    origin: Origin,
    head: &'a Parts,
    body: &'a Rc<ClientBody>,
    started: Time,
    deadline: Time,
    client_timeout: Duration,
}

/// Selects the service, reads the key and runs the request.
async fn forward(
    state: &TrafficState,
    config: &RouteConfig,
    rule: &RouteRule,
    received: Received<'_>,
) -> Response<ResponseBody> {
    let Received {
        origin,
        head,
        body,
        started,
        deadline,
        client_timeout,
    } = received;
    let service = rule.split.pick(rand::rng().random());
    let is_keyed = config
        .service(service)
        .is_some_and(|service| service.is_sharded);
    let key = match is_keyed {
        true => match parse_header::<u16>(head, &state.headers.key) {
            Some(key) => Some(RangeKey(key)),
            None => return Denial::NoKey.response(state, head, Some(config.version)),
        },
        false => None,
    };
    // The instance that received the request from the client has counted it.
    if origin == Origin::Client {
        if let Some(key) = key {
            state.shared.record_key(service, key);
        }
        state.count_request(service);
    }
    let progress = RequestProgress::new(RequestTraits {
        origin,
        is_keyed,
        idempotency: rule.idempotency,
        started,
        latency_objective: rule.latency_objective,
        deadline,
        max_attempts: rule.max_attempts,
    });
    let request = OutgoingRequest {
        head,
        body,
        idempotency: rule.idempotency,
        objective: started + rule.latency_objective,
        deadline,
        client_deadline: started + client_timeout,
        is_keyed,
        sent: Cell::default(),
        carriers: RefCell::default(),
    };
    let active = ActiveRequest {
        rule,
        scope: RequestScope {
            state,
            service,
            key,
            request,
        },
        log: RequestLog {
            request_id: state.request_id(head),
            started,
            clock: state.clock,
        },
        progress,
        client_timeout,
        slot: None,
        denied_by: None,
    };
    active.run().await
}

/// Time for which the client waits for the response.
fn client_timeout(state: &TrafficState, head: &Parts) -> Duration {
    let timeout_ms = parse_header::<u64>(head, &state.headers.deadline);
    timeout_ms.map_or(DEFAULT_TIMEOUT, Duration::from_millis)
}

/// Value of a header; `None` if it is missing or cannot be parsed.
fn parse_header<T: FromStr>(head: &Parts, name: &HeaderName) -> Option<T> {
    head.headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// Denial for a body that is too large or incomplete.
fn body_error(body: &ClientBody) -> Option<Denial> {
    match body.is_too_large() {
        true => Some(Denial::BodyTooLarge),
        false => body.is_truncated().then_some(Denial::IncompleteBody),
    }
}
