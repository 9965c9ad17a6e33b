//! How long a connection may have been idle for a request that may run only once.

use std::time::Duration;

/// The bound at first, and after a connection was found to be dead: too short for
/// anything between to have forgotten it.
const FIRST: Duration = Duration::from_millis(1_500);
/// The most: callers' requests come every few seconds to each server, and a longer
/// bound would save few connections.
const MOST: Duration = Duration::from_secs(6);
/// How much the bound rises at a time.
const STEP: Duration = Duration::from_millis(2_250);
/// Connections idle for as long as the next bound that must have worked before it is
/// taken. Where one
/// in ten is dead, a step is taken by mistake four times in ten, and the first that
/// is found dead takes it back.
const CLEAN: u32 = 8;

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
/// use {citron_core::dispatch::IdleTrust, std::time::Duration};
/// let mut trust = IdleTrust::default();
/// let first = trust.bound();
/// for _ in 0..100 {
///     trust.worked(Duration::from_secs(8));
/// }
/// assert!(trust.bound() > first);
/// trust.was_dead();
/// assert_eq!(trust.bound(), first);
/// ```
#[derive(Debug)]
pub struct IdleTrust {
    bound: Duration,
    clean: u32,
}

impl Default for IdleTrust {
    fn default() -> Self {
        Self {
            bound: FIRST,
            clean: 0,
        }
    }
}

impl IdleTrust {
    /// How long a connection may have been idle.
    pub fn bound(&self) -> Duration {
        self.bound
    }

    /// A connection that was idle for so long has brought an answer.
    pub fn worked(&mut self, idle: Duration) {
        let next = (self.bound + STEP).min(MOST);
        if idle < next {
            return;
        }
        self.clean += 1;
        if self.clean >= CLEAN {
            self.bound = next;
            self.clean = 0;
        }
    }

    /// One was found to be dead.
    pub fn was_dead(&mut self) {
        *self = Self::default();
    }
}
