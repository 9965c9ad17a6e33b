//! The answers of our own: status, outcome and when to come back.

use {
    super::Outcome,
    std::{fmt, time::Duration},
};

/// The longest time that a caller is told to stay away.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(60);

/// Why a request gets an answer of ours.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureReason {
    /// Nobody owns the key now, or its shard is moving.
    NoOwner,
    /// The instance's leave to route ran out before the write.
    Unconfirmed,
    /// The wait for a slot would outlast the deadline, or the queue is full.
    Overloaded,
    /// The server gave no answers lately and is probed from time to time.
    Ejected,
    /// The operator has as many requests in progress as the instance allows.
    OperatorLimit,
    /// The server's cap of requests a second is used up.
    RateLimited,
    /// Requests like this one crashed servers.
    Quarantined,
    /// The server refused it and promised not to run it.
    Refused,
    /// No connection could be made.
    Unreachable,
    /// The connection was lost.
    ConnectionLost,
    /// The time was used up.
    TimedOut,
    /// The instance is leaving.
    Leaving,
    /// The caller left; nobody reads the answer.
    CallerLeft,
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
        Self::CallerLeft,
    ];

    /// The HTTP status; 499 goes to logs only.
    pub fn status(self) -> u16 {
        match self {
            Self::NoOwner | Self::Unconfirmed | Self::Overloaded => 503,
            Self::RateLimited => 429,
            Self::Quarantined => 422,
            Self::Ejected | Self::OperatorLimit | Self::Refused | Self::Leaving => 503,
            Self::Unreachable | Self::ConnectionLost => 502,
            Self::TimedOut => 504,
            Self::CallerLeft => 499,
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
            Self::CallerLeft => "the caller left",
        })
    }
}

/// An answer of ours.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LocalResponse {
    /// Why.
    pub reason: FailureReason,
    /// The HTTP status.
    pub status: u16,
    /// What became of the request.
    pub outcome: Outcome,
    /// `Retry-After` in whole seconds, if coming back makes sense.
    pub retry_after: Option<u32>,
}

impl LocalResponse {
    /// The answer for a request that no server runs; it may come back after `wait`.
    ///
    /// ```
    /// use {citron_core::routing::{Outcome, FailureReason, LocalResponse}, std::time::Duration};
    /// let response = LocalResponse::not_run(FailureReason::Overloaded, Duration::from_millis(1_200));
    /// assert_eq!((response.status, response.retry_after), (503, Some(2)));
    /// assert_eq!(response.outcome, Outcome::NotRun);
    /// ```
    pub fn not_run(reason: FailureReason, wait: Duration) -> Self {
        Self {
            reason,
            status: reason.status(),
            outcome: Outcome::NotRun,
            retry_after: Some(whole_seconds(wait)),
        }
    }

    /// The answer for a request that may have run. The caller of one that is not
    /// idempotent is not invited back: a resend could run it twice.
    pub fn unknown(reason: FailureReason, idempotent: bool, wait: Duration) -> Self {
        Self {
            reason,
            status: reason.status(),
            outcome: Outcome::Unknown,
            retry_after: idempotent.then(|| whole_seconds(wait)),
        }
    }
}

/// Rounded up, so that nobody is back too early; at least a second.
fn whole_seconds(wait: Duration) -> u32 {
    let capped = wait.min(RETRY_AFTER_MAX);
    let rounding = u32::from(capped.subsec_nanos() > 0);
    (capped.as_secs() as u32 + rounding).max(1)
}
