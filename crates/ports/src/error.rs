//! Errors of the platform's clients.

use {citron_wire::WireError, thiserror::Error};

/// Why a call to something outside gave no answer.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// Nothing was sent, or nothing that could have an effect.
    #[error("not reached: {0}")]
    Unreachable(String),
    /// A write may or may not have taken effect, and reading back failed too.
    #[error("outcome unknown: {0}")]
    OutcomeUnknown(String),
    /// An answer that makes no sense.
    #[error("bad answer: {0}")]
    InvalidResponse(String),
    /// A row that breaks a rule.
    #[error(transparent)]
    Wire(#[from] WireError),
}
