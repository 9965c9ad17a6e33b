//! Answers of our own.

use {
    super::response_body::ResponseBody,
    bytes::Bytes,
    citron_core::routing::{LocalResponse, Outcome},
    http::{HeaderValue, Response, StatusCode, header},
    http_body_util::Full,
};

/// Answer header: what became of the request.
pub const HEADER_OUTCOME: &str = "citron-outcome";

/// When a caller may come back after a passing trouble, in seconds.
const RETRY_AFTER_SECONDS: u32 = 1;

/// An answer of ours, with the outcome and when to come back, in seconds.
pub fn local_response(
    status: StatusCode,
    outcome: Outcome,
    retry_after: Option<u32>,
    reason: &str,
) -> Response<ResponseBody> {
    let body = Bytes::from(format!("{reason}\n"));
    let mut response = Response::new(ResponseBody::Local(Full::new(body)));
    *response.status_mut() = status;
    set_outcome(&mut response, outcome);
    if let Some(seconds) = retry_after {
        let value = HeaderValue::from(seconds);
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// Says in the headers what became of the request.
pub fn set_outcome(response: &mut Response<ResponseBody>, outcome: Outcome) {
    let value = match outcome {
        Outcome::Ran => HeaderValue::from_static("ran"),
        Outcome::NotRun => HeaderValue::from_static("not-run"),
        Outcome::Unknown => HeaderValue::from_static("unknown"),
    };
    response.headers_mut().insert(HEADER_OUTCOME, value);
}

/// The answer that core decided on.
pub fn from_decision(decision: &LocalResponse) -> Response<ResponseBody> {
    let status = StatusCode::from_u16(decision.status);
    let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let reason = decision.reason.to_string();
    local_response(status, decision.outcome, decision.retry_after, &reason)
}

/// The answer of an instance that can route nothing now.
pub fn unavailable(reason: &str) -> Response<ResponseBody> {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    local_response(status, Outcome::NotRun, Some(RETRY_AFTER_SECONDS), reason)
}

/// What the headers of an answer say of its request.
pub fn outcome_of(response: &Response<ResponseBody>) -> Outcome {
    let value = response.headers().get(HEADER_OUTCOME);
    let outcome = value.and_then(|value| value.to_str().ok()?.parse().ok());
    outcome.unwrap_or(Outcome::Unknown)
}
