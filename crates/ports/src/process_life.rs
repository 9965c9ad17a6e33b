//! Time over which one process is known to have listened at an address.

use std::time::Instant;

/// Period in which a single process has certainly listened at an address.
///
/// A connection leads to the process that accepted it, and ends with that process. If a
/// call on one connection is answered after another connection was opened, both lead to the
/// same process, which has been running since the first of them was opened.
///
/// ```
/// use {citron_ports::ProcessLife, std::time::{Duration, Instant}};
/// let at = |seconds| Instant::now() + Duration::from_secs(seconds);
/// let (first, second, call) = (at(0), at(1), at(2));
/// let mut life = ProcessLife::default();
/// assert_eq!(life.known_since(second), second);
/// life.record_response(first, call);
/// assert_eq!(life.known_since(second), first);
/// ```
#[derive(Debug, Default)]
pub struct ProcessLife {
    /// When the oldest connection to the process was opened, and when the last call began that
    /// the process answered.
    period: Option<(Instant, Instant)>,
}

impl ProcessLife {
    /// Records a response to a call begun at `called`, on a connection opened at `opened`. The
    /// response must be known to have been sent later than that.
    pub fn record_response(&mut self, opened: Instant, called: Instant) {
        if called < opened {
            return;
        }
        self.period = Some(match self.period {
            // An earlier process, whose response arrives late.
            Some((since, until)) if called < since => (since, until),
            Some((since, until)) if opened <= until => (since.min(opened), until.max(called)),
            _ => (opened, called),
        });
    }

    /// Time since when the process at the other end of a connection has certainly been
    /// running, if the connection was opened at `opened` and is still open.
    pub fn known_since(&self, opened: Instant) -> Instant {
        match self.period {
            Some((since, until)) if opened <= until => since.min(opened),
            _ => opened,
        }
    }
}
