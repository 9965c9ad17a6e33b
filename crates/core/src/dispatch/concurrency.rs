//! How many requests an instance has at a service at a time.

/// Requests at a time that a new instance begins with: more than its part of any
/// service seen so far, as the first late answers correct it.
const LIMIT_INITIAL: f64 = 8.0;
/// The least: one request in three that come when none is under way, so that
/// answers go on telling whether there is room again.
const LIMIT_MIN: f64 = 0.3;
/// Added for an answer in time while most of the limit is in use.
const INCREASE: f64 = 0.2;
/// The same as a part of a limit above eight, so that late answers weigh the
/// same at any size: up to a fifth of them leave the limit where it is.
const INCREASE_SHARE: f64 = INCREASE / 8.0;
/// Factor for a late answer.
const DECREASE_FACTOR: f64 = 0.9;
/// Part of the limit that must be in use for it to rise.
const IN_USE_SHARE: f64 = 0.6;

/// Part of the time up to the objective within which an answer counts as in time:
/// the limit has to fall before all of it is needed.
pub const ON_TIME_SHARE: f64 = 0.85;

/// What an end tells of the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Timeliness {
    /// Answered within [`ON_TIME_SHARE`] of the objective.
    OnTime,
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
/// reports alone and 70 with this limit (`tests/stale_reports`). The time that answers
/// take tells without any report; the limit rises and falls with it, and what is
/// over it is refused at once.
///
/// ```
/// use citron_core::dispatch::{ConcurrencyLimit, Timeliness};
/// let mut limiter = ConcurrencyLimit::default();
/// for _ in 0..100 {
///     limiter.begin();
///     limiter.end(Timeliness::Late);
/// }
/// limiter.begin();
/// assert!(!limiter.admits(0.5));
/// ```
#[derive(Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    in_flight: u32,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self {
            limit: LIMIT_INITIAL,
            in_flight: 0,
        }
    }
}

impl ConcurrencyLimit {
    /// Whether one more may begin; `random` from 0 to 1 decides over the part of a
    /// request in the limit.
    pub fn admits(&self, random: f64) -> bool {
        let in_flight = f64::from(self.in_flight);
        let whole = self.limit.floor();
        in_flight < whole || (in_flight == whole && random < self.limit - whole)
    }

    /// One begins.
    pub fn begin(&mut self) {
        self.in_flight += 1;
    }

    /// One ends.
    pub fn end(&mut self, timeliness: Timeliness) {
        let is_in_use = f64::from(self.in_flight) > self.limit * IN_USE_SHARE;
        self.in_flight = self.in_flight.saturating_sub(1);
        match timeliness {
            Timeliness::OnTime if is_in_use => {
                self.limit += INCREASE.max(self.limit * INCREASE_SHARE)
            }
            Timeliness::Late => self.limit = (self.limit * DECREASE_FACTOR).max(LIMIT_MIN),
            Timeliness::OnTime | Timeliness::Unknown => {}
        }
    }
}
