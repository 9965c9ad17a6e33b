//! Which requests an instance still starts while it shuts down.

use {crate::time::Time, std::time::Duration};

/// Time after the beginning of the shutdown within which every request starts. Later ones may
/// last until the open requests are aborted.
const START_TIME: Duration = Duration::from_secs(3);
/// Part of the shutdown timeout that is reserved for the exit of the process, as a divisor.
/// With a tenth of a core, it takes some hundred milliseconds to notice the timeout and to close
/// what is open. A process that has not exited by then is killed, and its last responses are
/// lost.
const MARGIN_DIVISOR: u32 = 8;

/// Times of the shutdown of an instance.
///
/// ```
/// use {citron_core::{request::Shutdown, time::Time}, std::time::Duration};
/// let begin = Time::from_micros(10_000_000);
/// let after = |millis| begin + Duration::from_millis(millis);
/// let shutdown = Shutdown::new(begin, Duration::from_secs(6));
/// assert_eq!(shutdown.abort_at(), after(5_250));
/// assert!(shutdown.may_start(after(2_000), after(7_000)));
/// assert!(shutdown.may_start(after(4_000), after(5_000)));
/// assert!(!shutdown.may_start(after(4_000), after(7_000)));
/// ```
#[derive(Debug, Clone, Copy)]
pub struct Shutdown {
    begin: Time,
    timeout: Duration,
}

impl Shutdown {
    /// A shutdown that began at `begin`. The process is killed when `timeout` has passed.
    pub fn new(begin: Time, timeout: Duration) -> Self {
        Self { begin, timeout }
    }

    /// When open requests are aborted.
    pub fn abort_at(&self) -> Time {
        self.begin + (self.timeout - self.timeout / MARGIN_DIVISOR)
    }

    /// When a request with this deadline can no longer start; `None` if it always can, as it
    /// ends before the shutdown does.
    pub fn start_limit(&self, deadline: Time) -> Option<Time> {
        (deadline > self.abort_at()).then(|| self.begin + START_TIME.min(self.timeout / 2))
    }

    /// Whether an attempt of a request with this deadline may start.
    pub fn may_start(&self, now: Time, deadline: Time) -> bool {
        self.start_limit(deadline).is_none_or(|limit| now < limit)
    }
}
