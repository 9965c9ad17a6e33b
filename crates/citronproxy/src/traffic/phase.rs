//! Phases of the traffic threads.

/// Where the threads stand between start and end; it only advances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Phase {
    /// Connections are taken and kept.
    #[default]
    Serving,
    /// Connections are taken, and each ends with its next answer.
    Draining,
    /// No connection is taken; requests under way go on to their end.
    Closing,
}
