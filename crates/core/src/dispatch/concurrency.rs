//! How many requests an instance has at a service at a time.

/// Requests at a time that a new instance begins with: more than its part of any
/// service seen so far, as the first late answers correct it.
const FIRST: f64 = 8.0;
/// The least: one request in three that come when none is under way, so that
/// answers go on telling whether there is room again.
const LEAST: f64 = 0.3;
/// Added for an answer in time while most of the limit is in use.
const RISE: f64 = 0.2;
/// The same as a part of a limit above eight, so that late answers weigh the
/// same at any size: up to a fifth of them leave the limit where it is.
const RISE_PART: f64 = RISE / 8.0;
/// Factor for a late answer.
const FALL: f64 = 0.9;
/// Part of the limit that must be in use for it to rise.
const IN_USE: f64 = 0.6;

/// Part of the time up to the objective within which an answer counts as in time:
/// the limit has to fall before all of it is needed.
pub const PROMPT: f64 = 0.85;

/// What an end tells of the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Speed {
    /// Answered within [`PROMPT`] of the objective.
    InTime,
    /// Answered later, not answered by then, or refused for want of room.
    Late,
    /// Nothing can be learned.
    Unknown,
}

/// A limit on an instance's requests at a service whose servers share the work.
///
/// What other instances have at servers is known from reports that are as old as
/// a request is long, and only for some of them. Where more is asked for than
/// the servers can run, each instance sees room that others fill, and all answers
/// are late: with 84 instances and 1.3 times the capacity, 49 of 100 in time by
/// reports alone and 70 with this limit (`tests/stale`). The time that answers
/// take tells without any report; the limit rises and falls with it, and what is
/// over it is refused at once.
///
/// ```
/// use citron_core::dispatch::{Pace, Speed};
/// let mut pace = Pace::default();
/// for _ in 0..100 {
///     pace.begin();
///     pace.end(Speed::Late);
/// }
/// pace.begin();
/// assert!(!pace.admits(0.5));
/// ```
#[derive(Debug)]
pub struct Pace {
    limit: f64,
    open: u32,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            limit: FIRST,
            open: 0,
        }
    }
}

impl Pace {
    /// Whether one more may begin; `drawn` from 0 to 1 decides over the part of a
    /// request in the limit.
    pub fn admits(&self, drawn: f64) -> bool {
        let open = f64::from(self.open);
        let whole = self.limit.floor();
        open < whole || (open == whole && drawn < self.limit - whole)
    }

    /// One begins.
    pub fn begin(&mut self) {
        self.open += 1;
    }

    /// One ends.
    pub fn end(&mut self, speed: Speed) {
        let used = f64::from(self.open) > self.limit * IN_USE;
        self.open = self.open.saturating_sub(1);
        match speed {
            Speed::InTime if used => self.limit += RISE.max(self.limit * RISE_PART),
            Speed::Late => self.limit = (self.limit * FALL).max(LEAST),
            Speed::InTime | Speed::Unknown => {}
        }
    }
}
