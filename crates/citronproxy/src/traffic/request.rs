//! What the router reads from a request's head.

use {
    citron_core::{
        id::KeyHash,
        routing::Route,
        table::{KeySource, ServiceRow},
    },
    citron_wire::grant::{HEADER_EPOCH, HEADER_SCOPE, HEADER_SERVICE},
    http::{HeaderMap, HeaderName, HeaderValue, Uri, header, request::Parts, uri::PathAndQuery},
    std::time::Duration,
};

/// Headers that concern one connection and are never passed on (RFC 9110, 7.6.1).
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
/// Not registered, but treated as hop-by-hop by custom.
const KEEP_ALIVE: &str = "keep-alive";

/// The host a request names, without its port.
pub fn host(head: &Parts) -> &str {
    let host_header = head
        .headers
        .get(header::HOST)
        .and_then(|value| value.to_str().ok());
    let host = head.uri.host().or(host_header).unwrap_or("");
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}

/// The key's hash; `None` if the request has none where the rule says.
pub fn key_hash(rule: &KeySource, head: &Parts) -> Option<KeyHash> {
    let key = match rule {
        KeySource::Header(name) => head.headers.get(name)?.as_bytes(),
        KeySource::Segment(number) => path_segment(&head.uri, *number)?.as_bytes(),
    };
    (!key.is_empty()).then(|| KeyHash::from_key(key))
}

fn path_segment(uri: &Uri, number: usize) -> Option<&str> {
    uri.path().split('/').skip(1).nth(number)
}

/// Removes what concerns the caller's connection only, listed or by custom.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in &listed {
        headers.remove(name);
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove(KEEP_ALIVE);
}

/// How long the sender of a head keeps its connection open while it is idle, if
/// it says so: `Keep-Alive: timeout=10`.
pub fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let mut parameters = text.split(',');
    let timeout = parameters.find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}

/// Makes a head ready to be passed on: the path alone, whatever form the caller
/// named it in, and nothing that concerns the caller's connection only.
pub fn prepare_forward(head: &mut Parts) {
    if let Some(authority) = head.uri.authority()
        && let Ok(host) = HeaderValue::from_str(authority.as_str())
    {
        head.headers.insert(header::HOST, host);
    }
    let path = head.uri.path_and_query().cloned();
    let path = path.unwrap_or_else(|| PathAndQuery::from_static("/"));
    head.uri = Uri::from(path);
    strip_hop_by_hop(&mut head.headers);
    // Answered by this instance once it reads the body.
    head.headers.remove(header::EXPECT);
}

/// Tells the backend server under which grant the request was routed.
pub fn set_grant_headers(headers: &mut HeaderMap, row: &ServiceRow, route: &Route) {
    let service = HeaderValue::from_str(row.name.as_str());
    let scope = HeaderValue::from_str(&route.scope.to_string());
    if let (Ok(service), Ok(scope)) = (service, scope) {
        headers.insert(HEADER_SERVICE, service);
        headers.insert(HEADER_SCOPE, scope);
        headers.insert(HEADER_EPOCH, HeaderValue::from(route.epoch.0));
    }
}
