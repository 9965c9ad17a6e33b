//! Resource limits for client connections and requests.

use std::time::Duration;

/// Limits that apply on each traffic thread.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: u64,
    /// Maximum time to receive a request head, from its first byte.
    pub head_timeout: Duration,
    /// Maximum time for which a client connection may stay without a request.
    pub idle_timeout: Duration,
    /// Maximum time for which a client may leave a response unread before its connection
    /// is closed.
    pub write_timeout: Duration,
    /// Maximum time for which a request waits for a route to the owner of its key.
    pub owner_wait: Duration,
    /// Maximum number of requests of one thread that wait for a route at a time.
    pub max_waiting: usize,
    /// Maximum number of requests of one thread in progress at a time.
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
