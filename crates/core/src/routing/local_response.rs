//! Responses that the router generates itself: status, outcome and Retry-After.

use {
    super::Outcome,
    std::{fmt, time::Duration},
};

/// Upper bound of `Retry-After`.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(60);

/// Reason for which the router responds itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureReason {
    /// The key has no owner, or its shard is moving.
    NoOwner,
    /// The routing lease expired before the write.
    Unconfirmed,
    /// The wait for a slot would outlast the deadline, or the queue is full.
    Overloaded,
    /// The server is ejected as an outlier; only occasional probes reach it.
    Ejected,
    /// The operator has as many concurrent requests as the instance allows.
    OperatorLimit,
    /// The server's rate limit is reached.
    RateLimited,
    /// Requests with the same fingerprint crashed servers.
    Quarantined,
    /// The server refused the request and guarantees not to run it.
    Refused,
    /// No connection could be opened.
    Unreachable,
    /// The connection was lost.
    ConnectionLost,
    /// The request timed out.
    TimedOut,
    /// The instance is shutting down.
    Leaving,
    /// The client disconnected; the response goes nowhere.
    ClientDisconnected,
}

impl FailureReason {
    /// All reasons.
    pub const ALL: [Self; 13] = [
        Self::NoOwner,
        Self::Unconfirmed,
        Self::Overloaded,
        Self::Ejected,
        Self::OperatorLimit,
        Self::RateLimited,
        Self::Quarantined,
        Self::Refused,
        Self::Unreachable,
        Self::ConnectionLost,
        Self::TimedOut,
        Self::Leaving,
        Self::ClientDisconnected,
    ];

    /// HTTP status of a response to a request that may have run; 499 appears only in logs.
    pub fn status(self) -> u16 {
        match self {
            Self::NoOwner | Self::Unconfirmed | Self::Overloaded => 503,
            Self::RateLimited => 429,
            Self::Quarantined => 422,
            Self::Ejected | Self::OperatorLimit | Self::Refused | Self::Leaving => 503,
            Self::Unreachable | Self::ConnectionLost => 502,
            Self::TimedOut => 504,
            Self::ClientDisconnected => 499,
        }
    }
}

impl fmt::Display for FailureReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::NoOwner => "the key has no owner now",
            Self::Unconfirmed => "the owner of the key is not certain now",
            Self::Overloaded => "the wait for the backend server is too long",
            Self::Ejected => "the backend server does not answer now",
            Self::OperatorLimit => "the operator has too many requests in progress here",
            Self::RateLimited => "the backend server's cap is used up",
            Self::Quarantined => "requests like this one crashed backend servers",
            Self::Refused => "the backend server refused the request",
            Self::Unreachable => "the backend server cannot be reached",
            Self::ConnectionLost => "the connection to the backend server was lost",
            Self::TimedOut => "the time for the request is used up",
            Self::Leaving => "the instance is leaving",
            Self::ClientDisconnected => "the caller left",
        })
    }
}

/// A response that the router generates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LocalResponse {
    /// Reason for the response.
    pub reason: FailureReason,
    /// HTTP status.
    pub status: u16,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// `Retry-After` in whole seconds; `None` if the client should not retry.
    pub retry_after: Option<u32>,
}

impl LocalResponse {
    /// Creates the response to a request that no server runs; the client may retry after
    /// `wait`. Its status is never 502 or 504, which guarantee nothing.
    ///
    /// ```
    /// use {citron_core::routing::{Outcome, FailureReason, LocalResponse}, std::time::Duration};
    /// let response = LocalResponse::not_run(FailureReason::Overloaded, Duration::from_millis(1_200));
    /// assert_eq!((response.status, response.retry_after), (503, Some(2)));
    /// assert_eq!(response.outcome, Outcome::NotRun);
    /// let response = LocalResponse::not_run(FailureReason::Unreachable, Duration::ZERO);
    /// assert_eq!(response.status, 503);
    /// ```
    pub fn not_run(reason: FailureReason, wait: Duration) -> Self {
        let status = match reason.status() {
            502 | 504 => 503,
            status => status,
        };
        Self {
            reason,
            status,
            outcome: Outcome::NotRun,
            retry_after: Some(whole_seconds(wait)),
        }
    }

    /// Creates the response to a request that may have run. Without idempotency it has no
    /// `Retry-After`, as a retry could run the request twice.
    pub fn unknown(reason: FailureReason, idempotent: bool, wait: Duration) -> Self {
        Self {
            reason,
            status: reason.status(),
            outcome: Outcome::Unknown,
            retry_after: idempotent.then(|| whole_seconds(wait)),
        }
    }
}

/// Rounds up, so that no client returns too early; at least 1.
fn whole_seconds(wait: Duration) -> u32 {
    let capped = wait.min(RETRY_AFTER_MAX);
    let rounding = u32::from(capped.subsec_nanos() > 0);
    (capped.as_secs() as u32 + rounding).max(1)
}
