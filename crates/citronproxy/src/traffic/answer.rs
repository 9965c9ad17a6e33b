//! Answers of our own.

use {
    super::body::AnswerBody,
    bytes::Bytes,
    citron_core::routing::Outcome,
    http::{HeaderValue, Response, StatusCode, header},
    http_body_util::Full,
};

/// Answer header: what became of the request.
pub const HEADER_OUTCOME: &str = "citron-outcome";

/// An answer of ours, with the outcome and when to come back, in seconds.
pub fn own(
    status: StatusCode,
    outcome: Outcome,
    retry: Option<u32>,
    reason: &str,
) -> Response<AnswerBody> {
    let body = Bytes::from(format!("{reason}\n"));
    let mut response = Response::new(AnswerBody::Own(Full::new(body)));
    *response.status_mut() = status;
    mark(&mut response, outcome);
    if let Some(seconds) = retry {
        let value = HeaderValue::from(seconds);
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// Says in the headers what became of the request.
pub fn mark(response: &mut Response<AnswerBody>, outcome: Outcome) {
    let value = match outcome {
        Outcome::Ran => HeaderValue::from_static("ran"),
        Outcome::NotRun => HeaderValue::from_static("not-run"),
        Outcome::Unknown => HeaderValue::from_static("unknown"),
    };
    response.headers_mut().insert(HEADER_OUTCOME, value);
}
