//! HTTP helpers shared by the fake servers.

use {
    bytes::Bytes,
    http::{Response, StatusCode},
    http_body_util::Full,
    serde::Serialize,
};

/// Response type of all fake servers.
pub(crate) type HttpResponse = Response<Full<Bytes>>;

pub(crate) fn json_response(status: StatusCode, body: &impl Serialize) -> HttpResponse {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    byte_response(status, bytes)
}

pub(crate) fn byte_response(status: StatusCode, bytes: Vec<u8>) -> HttpResponse {
    let mut response = Response::new(Full::new(Bytes::from(bytes)));
    *response.status_mut() = status;
    response
}

/// Returns the decoded value of a query parameter.
pub(crate) fn query_param(query: Option<&str>, name: &str) -> Option<String> {
    let mut pairs = form_urlencoded::parse(query?.as_bytes());
    let (_, value) = pairs.find(|(key, _)| key == name)?;
    Some(value.into_owned())
}
