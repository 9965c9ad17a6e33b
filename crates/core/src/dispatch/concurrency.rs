//! Adaptive limit on the requests that one instance has in flight at a service.

/// Initial limit of a new instance, in requests. It exceeds an instance's share of any
/// service seen so far; the first late responses lower it.
const LIMIT_INITIAL: f64 = 8.0;
/// Lower bound of the limit. With no request in flight, 0.3 admits about one request in
/// three, so that responses keep showing whether there is capacity again.
const LIMIT_MIN: f64 = 0.3;
/// Increase of the limit for a response on time while most of the limit is in use.
const INCREASE: f64 = 0.2;
/// Increase as a fraction of the limit, used for limits above 8. Late responses then
/// weigh the same at every size: the limit holds with up to a fifth of responses late.
const INCREASE_SHARE: f64 = INCREASE / 8.0;
/// Factor on the limit for a late response.
const DECREASE_FACTOR: f64 = 0.9;
/// Fraction of the limit that has to be in use for the limit to rise.
const IN_USE_SHARE: f64 = 0.6;

/// Fraction of the time left to the latency objective within which a response counts as
/// on time. It is below 1 so that the limit falls before the objective is missed.
pub const ON_TIME_SHARE: f64 = 0.85;

/// Whether a request ended on time, as input for [`ConcurrencyLimit`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Timeliness {
    /// The response came within [`ON_TIME_SHARE`] of the time left to the objective.
    OnTime,
    /// The response came later, had not come by then, or was a refusal for lack of
    /// capacity.
    Late,
    /// The end says nothing about the service's capacity.
    Unknown,
}

/// Additive-increase, multiplicative-decrease limit on an instance's in-flight requests
/// at a service whose servers can all run any request.
///
/// The load that other instances put on servers is known only from reports, which are as
/// old as a request takes and cover only some of the instances. When demand exceeds
/// capacity, every instance sees capacity that others are using as well, and all
/// responses are late. With 84 instances and a demand of 1.3 times the capacity, 49 of
/// 100 responses are on time with reports alone and 70 with this limit (`tests/stale_reports`).
/// Response times need no reports: the limit follows them, and requests above it are
/// rejected at once.
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
    /// Whether one more request may start. `random`, uniform in 0 to 1, decides for the
    /// fractional part of the limit.
    pub fn admits(&self, random: f64) -> bool {
        let in_flight = f64::from(self.in_flight);
        let whole = self.limit.floor();
        in_flight < whole || (in_flight == whole && random < self.limit - whole)
    }

    /// Counts the start of a request.
    pub fn begin(&mut self) {
        self.in_flight += 1;
    }

    /// Counts the end of a request and adjusts the limit.
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
