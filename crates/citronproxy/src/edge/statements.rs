//! Statements of servers about themselves in the headers of their responses.

use {
    super::shared::SharedState,
    crate::events,
    citron_core::{
        admission::Rate,
        dispatch::LimitStatement,
        id::{ParseIdError, ServerName},
        time::Time,
    },
    citron_ports::HeaderNames,
    http::{HeaderMap, HeaderValue, StatusCode, header},
    std::time::Duration,
    thiserror::Error,
};

/// Upper bound of the rest that a server gets, so that a wrong value ends by itself.
const REST_MAX: Duration = Duration::from_secs(600);

/// The rate limit that a response states; `None` if it states none.
///
/// # Errors
/// If the value is not a rate.
pub fn parse_limit(names: &HeaderNames, headers: &HeaderMap) -> Result<Option<Rate>, ParseIdError> {
    let value = headers.get(&names.limit);
    // A value that is not text parses no better than an empty one.
    let text = value.map(|value| value.to_str().unwrap_or_default().trim());
    text.map(str::parse).transpose()
}

/// Whether a response says that its server leaves.
pub fn is_leaving(names: &HeaderNames, headers: &HeaderMap) -> bool {
    let value = headers.get(&names.leaving);
    value.is_some_and(|value| value.as_bytes() == b"1")
}

/// A `Retry-After` that is no number of seconds.
#[derive(Debug, Error)]
#[error("not a number of seconds: {0:?}")]
pub struct RestError(HeaderValue);

/// Time for which a rejection asks for rest; `None` if the response is no rejection or
/// asks for none. `Retry-After` is in seconds, which may include fractions.
///
/// # Errors
/// If the value is no such number.
pub fn parse_rest(status: StatusCode, headers: &HeaderMap) -> Result<Option<Duration>, RestError> {
    let is_rejection = matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    );
    let Some(value) = headers.get(header::RETRY_AFTER).filter(|_| is_rejection) else {
        return Ok(None);
    };
    let text = value.to_str().ok();
    let seconds = text.and_then(|text| text.trim().parse::<f64>().ok());
    let rest = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    match rest {
        Some(rest) => Ok(Some(rest.min(REST_MAX))),
        None => Err(RestError(value.clone())),
    }
}

/// Records that a server asks this instance for rest.
pub fn record_rest(shared: &SharedState, server: &ServerName, rest: Duration, now: Time) {
    if shared.loads().record_rest(server, now + rest, now) {
        log::info!("{} {server} asks for {rest:?}", events::REST_ASKED);
    }
}

/// Records what a response says about the server's rate limit.
pub fn record_limit(
    shared: &SharedState,
    server: &ServerName,
    statement: LimitStatement,
    now: Time,
) {
    if shared.limits().record_statement(server, statement, now) {
        log_limit(server, statement);
    }
}

/// Logs that the rate limit of a server has changed.
pub fn log_limit(server: &ServerName, statement: LimitStatement) {
    let event = events::RATE_LIMIT_STATED;
    match statement {
        LimitStatement::Limited(rate) => {
            log::info!("{event} {server} takes {rate} requests per second from all instances");
        }
        LimitStatement::Unlimited => log::info!("{event} {server} states no limit any more"),
    }
}
