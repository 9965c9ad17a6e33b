//! Limit on the idle time of reused connections for requests that must not run twice.

use std::time::Duration;

/// Initial limit, and the limit after a dead connection: too short for a middlebox to
/// have dropped the connection's state.
const LIMIT_INITIAL: Duration = Duration::from_millis(1_500);
/// Upper bound of the limit. Requests reach each server every few seconds, so that a
/// higher limit would save few new connections.
const LIMIT_MAX: Duration = Duration::from_secs(6);
/// Increase of the limit per step.
const LIMIT_STEP: Duration = Duration::from_millis(2_250);
/// Successful responses, on connections idle for at least the next limit, before the
/// limit rises to it. Where one connection in ten is dead, a step is taken wrongly four
/// times in ten; the first dead connection found resets the limit.
const SUCCESSES_PER_STEP: u32 = 8;

/// Idle limit that adapts to the connections that idempotent requests reuse.
///
/// Idempotent requests reuse a connection for as long as the server announces to keep it,
/// and are sent again if the connection turns out to be dead. A request that must not run
/// twice would fail there. Opening a new connection for each such request takes a slot of
/// the server for a moment. The limit therefore rises while idle connections work and
/// returns to its initial value with the first dead one. Where a quarter of the requests
/// must not run twice, this saves 1 in 4 new connections.
///
/// ```
/// use {citron_core::dispatch::IdleLimit, std::time::Duration};
/// let mut idle_limit = IdleLimit::default();
/// let first = idle_limit.limit();
/// for _ in 0..100 {
///     idle_limit.record_success(Duration::from_secs(8));
/// }
/// assert!(idle_limit.limit() > first);
/// idle_limit.record_dead_connection();
/// assert_eq!(idle_limit.limit(), first);
/// ```
#[derive(Debug)]
pub struct IdleLimit {
    limit: Duration,
    successes: u32,
}

impl Default for IdleLimit {
    fn default() -> Self {
        Self {
            limit: LIMIT_INITIAL,
            successes: 0,
        }
    }
}

impl IdleLimit {
    /// Longest idle time of a connection that a request that must not run twice may
    /// reuse.
    pub fn limit(&self) -> Duration {
        self.limit
    }

    /// Counts a response on a connection that had been idle for `idle`.
    pub fn record_success(&mut self, idle: Duration) {
        let next = (self.limit + LIMIT_STEP).min(LIMIT_MAX);
        if idle < next {
            return;
        }
        self.successes += 1;
        if self.successes >= SUCCESSES_PER_STEP {
            self.limit = next;
            self.successes = 0;
        }
    }

    /// Resets the limit after a reused connection was found dead.
    pub fn record_dead_connection(&mut self) {
        *self = Self::default();
    }
}
