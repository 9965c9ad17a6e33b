//! Responses that the instance generates itself.

use {
    super::response_body::ResponseBody,
    bytes::Bytes,
    citron_core::routing::{LocalResponse, Outcome},
    http::{HeaderValue, Response, StatusCode, header},
    http_body_util::Full,
};

/// Response header that states whether the request ran.
pub const HEADER_OUTCOME: &str = "citron-outcome";

/// `Retry-After` in seconds for temporary failures.
const RETRY_AFTER_SECONDS: u32 = 1;

/// Creates a response with an outcome and, if given, a `Retry-After` in seconds.
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

/// Sets the outcome header of a response.
pub fn set_outcome(response: &mut Response<ResponseBody>, outcome: Outcome) {
    let value = match outcome {
        Outcome::Ran => HeaderValue::from_static("ran"),
        Outcome::NotRun => HeaderValue::from_static("not-run"),
        Outcome::Unknown => HeaderValue::from_static("unknown"),
    };
    response.headers_mut().insert(HEADER_OUTCOME, value);
}

/// Creates the response that the routing core decided on.
pub fn from_decision(decision: &LocalResponse) -> Response<ResponseBody> {
    let status = StatusCode::from_u16(decision.status);
    let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let reason = decision.reason.to_string();
    local_response(status, decision.outcome, decision.retry_after, &reason)
}

/// Creates the 503 response of an instance that cannot route at present.
pub fn unavailable(reason: &str) -> Response<ResponseBody> {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    local_response(status, Outcome::NotRun, Some(RETRY_AFTER_SECONDS), reason)
}

/// Outcome by the headers of a response; unknown if the header is missing or invalid.
pub fn outcome_of(response: &Response<ResponseBody>) -> Outcome {
    let value = response.headers().get(HEADER_OUTCOME);
    let outcome = value.and_then(|value| value.to_str().ok()?.parse().ok());
    outcome.unwrap_or(Outcome::Unknown)
}
