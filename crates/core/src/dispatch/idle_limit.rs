//! How long a connection may have been idle for a request that may run only once.

use std::time::Duration;

/// The bound at first, and after a connection was found to be dead: too short for
/// anything between to have forgotten it.
const LIMIT_INITIAL: Duration = Duration::from_millis(1_500);
/// The most: callers' requests come every few seconds to each server, and a longer
/// bound would save few connections.
const LIMIT_MAX: Duration = Duration::from_secs(6);
/// How much the bound rises at a time.
const LIMIT_STEP: Duration = Duration::from_millis(2_250);
/// Connections idle for as long as the next bound that must have worked before it is
/// taken. Where one
/// in ten is dead, a step is taken by mistake four times in ten, and the first that
/// is found dead takes it back.
const SUCCESSES_PER_STEP: u32 = 8;

/// A bound that follows what requests find that may run again.
///
/// Such requests go on a connection as long as the server says that it keeps it. If
/// it is dead they are sent again; what may run only once would be lost. So that
/// the latter need not open a connection each time, which costs the server a slot
/// for a moment, the bound rises while idle connections work and falls to its
/// begin with the first one that does not. It saves 1 in 4 new connections where a
/// quarter of the requests may run only once.
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
    /// How long a connection may have been idle.
    pub fn limit(&self) -> Duration {
        self.limit
    }

    /// A connection that was idle for so long has brought an answer.
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

    /// One was found to be dead.
    pub fn record_dead_connection(&mut self) {
        *self = Self::default();
    }
}
