//! Errors of the clients of the platform and of backend servers.

use {citron_wire::WireError, thiserror::Error};

/// Error of a call to the platform or to a backend server.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// No request was sent, or none that can have an effect.
    #[error("not reached: {0}")]
    Unreachable(String),
    /// A request was sent and may have taken effect. For a commit, resending it did not
    /// reveal the outcome either.
    #[error("outcome unknown: {0}")]
    OutcomeUnknown(String),
    /// The response has an error status or is malformed.
    #[error("bad answer: {0}")]
    InvalidResponse(String),
    /// A row in the response is not valid.
    #[error(transparent)]
    Wire(#[from] WireError),
}
