//! Answers of the admin API.

use {
    super::AdminError,
    bytes::Bytes,
    http::{HeaderValue, Response, StatusCode, header},
    http_body_util::Full,
    serde::Serialize,
};

/// An answer, whole.
pub(super) type Answer = Response<Full<Bytes>>;

/// JSON with a status.
pub(super) fn json(status: StatusCode, body: &impl Serialize) -> Answer {
    let mut bytes = serde_json::to_vec(body).unwrap_or_default();
    bytes.push(b'\n');
    let mut response = Response::new(Full::new(Bytes::from(bytes)));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

/// JSON with a version, as `If-Match` takes it.
pub(super) fn tagged(version: u64, body: &impl Serialize) -> Answer {
    let mut response = json(StatusCode::OK, body);
    if let Ok(tag) = HeaderValue::from_str(&format!("\"{version}\"")) {
        response.headers_mut().insert(header::ETAG, tag);
    }
    response
}

/// A refusal.
pub(super) fn refusal(error: &AdminError) -> Answer {
    let mut response = json(error.status(), &error.wire());
    if error.status() == StatusCode::UNAUTHORIZED {
        let scheme = HeaderValue::from_static("Bearer");
        response
            .headers_mut()
            .insert(header::WWW_AUTHENTICATE, scheme);
    }
    response
}
