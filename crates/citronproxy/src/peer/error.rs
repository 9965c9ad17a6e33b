//! Errors of calls to other instances.

use {citron_wire::WireError, std::time::Duration, thiserror::Error};

/// Why a call to another instance gave no answer.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The instance cannot be reached.
    #[error("connect: {0}")]
    Connect(#[from] std::io::Error),
    /// No answer in time; the connection is not used again.
    #[error("no answer in {0:?}")]
    Timeout(Duration),
    /// The connection broke, or the other side refused the call.
    #[error("call: {0}")]
    Call(#[from] capnp::Error),
    /// An answer that makes no sense.
    #[error(transparent)]
    Wire(#[from] WireError),
}
