//! What one caller may take up.

use std::time::Duration;

/// Limits of the traffic threads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub max_head_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: u64,
    /// How long the head of a request may take, from its first byte.
    pub head_timeout: Duration,
    /// How long a caller's connection may stay without a request.
    pub idle_timeout: Duration,
    /// How long a caller may leave an answer unread before its connection ends.
    pub write_timeout: Duration,
    /// How long a request waits for its key's owner to be certain again.
    pub owner_wait: Duration,
    /// Requests of one thread that wait so at a time.
    pub max_waiting: usize,
    /// Requests of one thread in progress at a time.
    pub max_in_progress: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_head_bytes: 32 * 1_024,
            max_body_bytes: 16 * 1_024 * 1_024 * 1_024,
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
            write_timeout: Duration::from_secs(30),
            owner_wait: Duration::from_secs(1),
            max_waiting: 1_024,
            max_in_progress: 4_096,
        }
    }
}
