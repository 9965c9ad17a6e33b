//! Reading and rewriting of request heads.

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

/// Hop-by-hop headers, which are never forwarded (RFC 9110, 7.6.1).
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
/// Not a registered hop-by-hop header, but treated as one by convention.
const KEEP_ALIVE: &str = "keep-alive";

/// Host that a request names, without the port.
pub fn host(head: &Parts) -> &str {
    let host_header = head
        .headers
        .get(header::HOST)
        .and_then(|value| value.to_str().ok());
    let host = head.uri.host().or(host_header).unwrap_or("");
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}

/// Hash of the request's key; `None` if the request has no key where the rule expects it.
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

/// Removes hop-by-hop headers: those listed in `Connection`, and the well-known ones.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    // The encoding determines the end of the body (RFC 9112, section 6.3).
    if headers.contains_key(header::TRANSFER_ENCODING) {
        headers.remove(header::CONTENT_LENGTH);
    }
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

/// Time for which the sender of a head keeps its connection open while idle, if it states
/// one, as in `Keep-Alive: timeout=10`.
pub fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let mut parameters = text.split(',');
    let timeout = parameters.find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}

/// Prepares a head for forwarding: reduces the target to path and query, whatever form
/// the client used, sets `Host` and removes hop-by-hop headers.
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
    // `Expect` is handled by this instance when it reads the body.
    head.headers.remove(header::EXPECT);
}

/// Sets the headers that state the grant under which the request was routed.
pub fn set_grant_headers(headers: &mut HeaderMap, row: &ServiceRow, route: &Route) {
    let service = HeaderValue::from_str(row.name.as_str());
    let scope = HeaderValue::from_str(&route.scope.to_string());
    if let (Ok(service), Ok(scope)) = (service, scope) {
        headers.insert(HEADER_SERVICE, service);
        headers.insert(HEADER_SCOPE, scope);
        headers.insert(HEADER_EPOCH, HeaderValue::from(route.epoch.0));
    }
}
