//! Errors that end an instance.

use {std::io, thiserror::Error};

/// Error that ends an instance.
#[derive(Debug, Error)]
pub enum EdgeError {
    /// An address cannot be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address that was to be listened on.
        address: String,
        /// Cause reported by the operating system.
        source: io::Error,
    },
    /// A thread or its runtime cannot be started.
    #[error("cannot start a thread: {0}")]
    Thread(io::Error),
    /// A metric name is registered twice.
    #[error("cannot register metrics: {0}")]
    Metrics(#[from] prometheus::Error),
    /// Signal handlers cannot be installed.
    #[error("cannot install signal handlers: {0}")]
    Signals(io::Error),
}
