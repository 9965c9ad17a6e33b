//! Errors of calls to other instances.

use {citron_wire::WireError, std::time::Duration, thiserror::Error};

/// A failed call to another instance.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The connection cannot be opened.
    #[error("cannot connect: {0}")]
    Connect(#[from] std::io::Error),
    /// No answer within the time given. The connection is not used again.
    #[error("no answer within {0:?}")]
    Timeout(Duration),
    /// The connection broke, or the other instance rejected the call.
    #[error("call failed: {0}")]
    Call(#[from] capnp::Error),
    /// The answer cannot be decoded.
    #[error(transparent)]
    Wire(#[from] WireError),
}
