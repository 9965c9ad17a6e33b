//! What a request asks for.

use {
    super::{
        active_request::Call,
        attempt::Message,
        denial::{Denial, refuse},
        response::AnswerBody,
        thread::Front,
    },
    crate::{
        edge::view::View,
        traffic::{
            guard::Refusal,
            request::{host, prepare_forward},
            request_body::CallerBody,
        },
    },
    citron_core::{
        ranges::RangeKey,
        routes::{Idempotency, RouteConfig, RouteRule},
        routing::Outcome,
        time::Time,
    },
    http::{HeaderName, HeaderValue, Response, header, request::Parts},
    hyper::body::Incoming,
    rand::Rng,
    std::{cell::Cell, rc::Rc, str::FromStr, sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// How much of a body is read before anything is sent, so that it can be sent
/// to another server, and so that a server which answers early cannot leave the
/// caller with its half of the message unsent. Larger than the uploads of today.
const KEEP: usize = 512 * 1_024;
/// How long after its start an instance usually has its first view.
const FIRST_VIEW: Duration = Duration::from_millis(1_500);
/// How long a request waits for it at most.
const FIRST_WAIT: Duration = Duration::from_millis(400);
/// How long before a caller with unknown patience is given up.
const PATIENCE: Duration = Duration::from_secs(30);

/// Answers a caller's request.
pub async fn serve(front: Rc<Front>, head: Parts, body: Option<Incoming>) -> Response<AnswerBody> {
    let mut answer = route(&front, head, body).await;
    if *front.leaving.borrow() {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    answer
}

/// Whether a request may be answered while one before it on its connection is not:
/// it may run again where a connection ends before its answer, and the instance
/// does not leave, which ends connections soon.
pub fn may_begin(front: &Front, head: &Parts) -> bool {
    let view = front.board.view();
    let rule = view
        .as_ref()
        .and_then(|view| view.config.rule(host(head), head.uri.path()));
    let idempotent = rule.is_some_and(|rule| rule.idempotency == Idempotency::Idempotent);
    idempotent && !*front.leaving.borrow()
}

async fn route(front: &Front, mut head: Parts, body: Option<Incoming>) -> Response<AnswerBody> {
    let begun = front.clock.now();
    match Refusal::from_path(head.uri.path()) {
        None => {}
        Some(Refusal::BufferTooSmall) => {
            return refuse(front, &head, None, &Refusal::BufferTooSmall.to_string());
        }
        Some(refusal) => return Denial::Message(refusal).answer(front, &head, None),
    }
    let Some(view) = first_view(front).await else {
        return refuse(front, &head, None, "no configuration is known yet");
    };
    let config = &view.config;
    let deny = |denial: Denial, head| denial.answer(front, head, Some(config.version));
    let Some(rule) = config.rule(host(&head), head.uri.path()) else {
        return deny(Denial::Route, &head);
    };
    let deadline = begun + patience(front, &head).min(rule.timeout);
    let source = CallerBody::new(body, config.limits.max_body_bytes, KEEP);
    if source.declared_length() > config.limits.max_body_bytes {
        return deny(Denial::Large, &head);
    }
    if timeout(deadline - begun, source.buffer_prefix())
        .await
        .is_err()
    {
        let reason = "its body did not come before its deadline";
        return refuse(front, &head, Some(config.version), reason);
    }
    if let Some(denial) = bad_body(&source) {
        return deny(denial, &head);
    }
    prepare_forward(&mut head);
    let answer = call(front, config, rule, &head, &source, begun, deadline).await;
    match bad_body(&source) {
        Some(Denial::Large) => deny(Denial::Outgrown, &head),
        Some(denial) => deny(denial, &head),
        None => answer,
    }
}

/// The view in force. For as long as the first one may come any moment it is waited for:
/// callers who are refused come back once only, and later.
async fn first_view(front: &Front) -> Option<Arc<View>> {
    let mut published = front.board.subscribe_views();
    if let Some(view) = front.board.view() {
        return Some(view);
    }
    let left = FIRST_VIEW.saturating_sub(front.clock.now() - front.started);
    // Without one in time there is none.
    let _ = timeout(left.min(FIRST_WAIT), published.changed()).await;
    front.board.view()
}

async fn call(
    front: &Front,
    config: &RouteConfig,
    rule: &RouteRule,
    head: &Parts,
    source: &Rc<CallerBody>,
    begun: Time,
    deadline: Time,
) -> Response<AnswerBody> {
    let service = rule.split.pick(rand::rng().random());
    let keyed = config
        .service(service)
        .is_some_and(|service| service.is_sharded);
    let key = match keyed {
        true => match number::<u16>(head, &front.headers.key) {
            Some(key) => Some(RangeKey(key)),
            None => return Denial::Key.answer(front, head, Some(config.version)),
        },
        false => None,
    };
    if let Some(key) = key {
        front.board.record_key(service, key);
    }
    front.count_request(service);
    let call = Call {
        front,
        rule,
        service,
        key,
        message: Message {
            head,
            source,
            repeat: rule.idempotency,
            objective: begun + rule.latency_objective,
            deadline,
            keyed,
            written: Cell::default(),
        },
        begun,
        id: front.id(head),
        tried: Vec::new(),
        unsent: 0,
        stale: None,
        misdirected: 0,
        doubtful: false,
        sent: 0,
        outcome: Cell::new(Outcome::Ran),
    };
    call.run().await
}

/// How long the caller goes on waiting.
fn patience(front: &Front, head: &Parts) -> Duration {
    let millis = number::<u64>(head, &front.headers.deadline);
    millis.map_or(PATIENCE, Duration::from_millis)
}

fn number<T: FromStr>(head: &Parts, name: &HeaderName) -> Option<T> {
    head.headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

fn bad_body(source: &CallerBody) -> Option<Denial> {
    match source.is_too_large() {
        true => Some(Denial::Large),
        false => source.is_truncated().then_some(Denial::Cut),
    }
}
