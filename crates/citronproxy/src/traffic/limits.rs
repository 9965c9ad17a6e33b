//! What one caller may take up.

use std::time::Duration;

/// Limits of the traffic threads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head: usize,
    /// Bytes of a request's body.
    pub body: u64,
    /// How long the head of a request may take, from its first byte.
    pub slow: Duration,
    /// How long a caller's connection may stay without a request.
    pub idle: Duration,
    /// How long a caller may leave an answer unread before its connection ends.
    pub stall: Duration,
    /// How long a request waits for its key's owner to be certain again.
    pub reroute: Duration,
    /// Requests of one thread that wait so at a time.
    pub waiting: usize,
    /// Requests of one thread in progress at a time.
    pub room: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head: 32 * 1_024,
            body: 16 * 1_024 * 1_024 * 1_024,
            slow: Duration::from_secs(10),
            idle: Duration::from_secs(60),
            stall: Duration::from_secs(30),
            reroute: Duration::from_secs(1),
            waiting: 1_024,
            room: 4_096,
        }
    }
}
