//! Lifecycle phases of the traffic threads.

/// Lifecycle phase of the traffic threads; phases only advance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Phase {
    /// Connections are accepted and kept alive.
    #[default]
    Serving,
    /// Connections are accepted, and each is closed after its next response.
    Draining,
    /// No connections are accepted; requests in progress are completed.
    Closing,
}
