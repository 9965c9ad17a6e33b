//! Deadlines of requests.

use {
    citron_core::time::Time,
    http::{HeaderMap, HeaderValue},
    std::time::Duration,
};

/// Header of requests from clients and to backend servers: remaining time of the request
/// in milliseconds.
pub const HEADER_TIMEOUT: &str = "citron-timeout-ms";

/// Deadline of a request that arrived at `now`: the client's, but at most `service_max`
/// from now. `None` if the client's header is not a positive number.
pub fn request_deadline(headers: &HeaderMap, now: Time, service_max: Duration) -> Option<Time> {
    let Some(value) = headers.get(HEADER_TIMEOUT) else {
        return Some(now + service_max);
    };
    let millis: u64 = value.to_str().ok()?.parse().ok()?;
    let requested = Duration::from_millis(millis);
    (millis > 0).then(|| now + requested.min(service_max))
}

/// Sets the header with the time remaining until the deadline, rounded down to
/// milliseconds.
pub fn set_timeout_header(headers: &mut HeaderMap, deadline: Time, now: Time) {
    let remaining = deadline - now;
    let millis = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    headers.insert(HEADER_TIMEOUT, HeaderValue::from(millis));
}
