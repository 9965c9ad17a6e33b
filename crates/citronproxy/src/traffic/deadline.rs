//! How long a request may take.

use {
    citron_core::time::Time,
    http::{HeaderMap, HeaderValue},
    std::time::Duration,
};

/// Request header, from callers and to backend servers: milliseconds that the
/// request may still take.
pub const HEADER_TIMEOUT: &str = "citron-timeout-ms";

/// The deadline of a request that arrived at `now`: the caller's, but no later
/// than the service's. `None` if the caller's is not a number above zero.
pub fn request_deadline(headers: &HeaderMap, now: Time, service_max: Duration) -> Option<Time> {
    let Some(value) = headers.get(HEADER_TIMEOUT) else {
        return Some(now + service_max);
    };
    let millis: u64 = value.to_str().ok()?.parse().ok()?;
    let requested = Duration::from_millis(millis);
    (millis > 0).then(|| now + requested.min(service_max))
}

/// Tells a backend server how long it may take: until the deadline, rounded down.
pub fn set_timeout_header(headers: &mut HeaderMap, deadline: Time, now: Time) {
    let remaining = deadline - now;
    let millis = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    headers.insert(HEADER_TIMEOUT, HeaderValue::from(millis));
}
