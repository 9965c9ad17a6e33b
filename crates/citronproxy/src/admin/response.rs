//! Responses of the admin API.

use {
    super::AdminError,
    bytes::Bytes,
    http::{HeaderValue, Response, StatusCode, header},
    http_body_util::Full,
    serde::Serialize,
};

/// A complete response.
pub(super) type JsonResponse = Response<Full<Bytes>>;

/// Response with a status and a JSON body.
pub(super) fn json_response(status: StatusCode, body: &impl Serialize) -> JsonResponse {
    let mut bytes = serde_json::to_vec(body).unwrap_or_default();
    bytes.push(b'\n');
    let mut response = Response::new(Full::new(Bytes::from(bytes)));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

/// Response with a JSON body and the version in `ETag`, in the form that `If-Match`
/// expects.
pub(super) fn versioned_response(version: u64, body: &impl Serialize) -> JsonResponse {
    let mut response = json_response(StatusCode::OK, body);
    if let Ok(tag) = HeaderValue::from_str(&format!("\"{version}\"")) {
        response.headers_mut().insert(header::ETAG, tag);
    }
    response
}

/// Response that reports an error.
pub(super) fn error_response(error: &AdminError) -> JsonResponse {
    let mut response = json_response(error.status(), &error.to_wire());
    if error.status() == StatusCode::UNAUTHORIZED {
        let scheme = HeaderValue::from_static("Bearer");
        response
            .headers_mut()
            .insert(header::WWW_AUTHENTICATE, scheme);
    }
    response
}
