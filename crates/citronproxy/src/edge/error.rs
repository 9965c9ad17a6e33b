//! What ends an instance.

use {std::io, thiserror::Error};

/// Why an instance cannot run.
#[derive(Debug, Error)]
pub enum EdgeError {
    /// An address cannot be listened on.
    #[error("listen on {address}: {source}")]
    Listen {
        /// The address.
        address: String,
        /// Why.
        source: io::Error,
    },
    /// A thread or its runtime cannot be started.
    #[error("start a thread: {0}")]
    Thread(io::Error),
    /// A metric's name is taken twice.
    #[error("metrics: {0}")]
    Metrics(#[from] prometheus::Error),
    /// Signals cannot be caught.
    #[error("catch signals: {0}")]
    Signals(io::Error),
}
