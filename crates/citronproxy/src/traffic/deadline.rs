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
pub fn deadline(headers: &HeaderMap, now: Time, service: Duration) -> Option<Time> {
    let Some(value) = headers.get(HEADER_TIMEOUT) else {
        return Some(now + service);
    };
    let millis: u64 = value.to_str().ok()?.parse().ok()?;
    let asked = Duration::from_millis(millis);
    (millis > 0).then(|| now + asked.min(service))
}

/// Tells a backend server how long it may take: until the deadline, rounded down.
pub fn pass_on(headers: &mut HeaderMap, deadline: Time, now: Time) {
    let left = deadline - now;
    let millis = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(HEADER_TIMEOUT, HeaderValue::from(millis));
}
