//! Division of a backend server's slots among instances without a central counter.

use {
    super::Rate,
    crate::id::{ParseIdError, Slots},
    std::{fmt, str::FromStr},
};

/// Lower bound of an instance's rate, in requests per second, so that its first request
/// can start.
const RATE_MIN: f64 = 0.5;
/// Fraction of unanswered requests above which slots count as contended. Demand of about
/// twice the capacity reaches it; with a lower value, the rule for contended slots
/// rejects more requests than the lack of slots does.
const UNANSWERED_SHARE_MAX: f64 = 0.4;
/// Share of every instance while slots are not contended.
const UNCONTENDED_SHARE_MIN: f64 = 1.0;

/// Slots that an instance may use on average; a fraction is used part of the time.
///
/// ```
/// use citron_core::admission::SlotShare;
/// assert_eq!("0.4".parse(), Ok(SlotShare::new(0.4)));
/// assert_eq!(SlotShare::new(0.4).to_string(), "0.400");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct SlotShare(f64);

impl SlotShare {
    /// Creates a share, clamped to a finite number that is not negative.
    pub fn new(slots: f64) -> Self {
        Self(if slots.is_finite() {
            slots.max(0.0)
        } else {
            0.0
        })
    }

    /// The share in slots.
    pub fn slots(self) -> f64 {
        self.0
    }
}

impl fmt::Display for SlotShare {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}", self.0)
    }
}

impl FromStr for SlotShare {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let parsed = text.parse::<f64>().ok();
        let valid = parsed.filter(|slots| slots.is_finite() && *slots >= 0.0);
        valid.map(Self).ok_or_else(|| ParseIdError::Number {
            found: text.to_string(),
            min: 0,
            max: u64::from(u32::MAX),
        })
    }
}

/// Demand of one instance for one server, as reported to other instances.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Rate of requests for the server, rejected ones included.
    pub arrivals: Rate,
    /// Rate of the server's responses.
    pub answers: Rate,
}

/// Divides a server's slots among instances in proportion to their request rates, so that
/// a client's chance does not depend on the instance that it connects to.
///
/// While nearly all requests are answered, every instance may use at least one slot at
/// any time, as waiting for a fraction of a slot would leave slots idle.
///
/// Every instance computes the same shares from the same reports. Where reports differ a
/// little, the shares overlap a little; the server's refusals and latency correct that.
///
/// ```
/// use citron_core::{admission::{Demand, Rate, shares}, id::Slots};
/// let demand = |arrivals, answers| Demand { arrivals: Rate(arrivals), answers: Rate(answers) };
/// let contended = shares(Slots(4), &[demand(300.0, 100.0), demand(100.0, 33.0)]);
/// assert_eq!((contended[0].slots(), contended[1].slots()), (3.0, 1.0));
/// let uncontended = shares(Slots(4), &[demand(99.0, 99.0), demand(1.0, 1.0)]);
/// assert!(uncontended[1].slots() >= 1.0);
/// ```
pub fn shares(slots: Slots, demands: &[Demand]) -> Vec<SlotShare> {
    let slots = f64::from(slots.0);
    let share = |demand| slot_share(slots, demand, demands);
    demands.iter().map(share).collect()
}

/// Share of one of `demands` in `slots` slots.
pub(super) fn slot_share(slots: f64, demand: &Demand, demands: &[Demand]) -> SlotShare {
    let min_share = if is_contended(demands) {
        0.0
    } else {
        UNCONTENDED_SHARE_MIN
    };
    SlotShare((slots * demand.fraction_of(demands)).max(min_share))
}

impl Demand {
    /// No requests for the server.
    pub const NONE: Self = Self {
        arrivals: Rate(0.0),
        answers: Rate(0.0),
    };

    /// Fraction of this demand in the sum of `all`.
    pub(super) fn fraction_of(&self, all: &[Self]) -> f64 {
        self.weight() / all.iter().map(Self::weight).sum::<f64>()
    }

    fn weight(&self) -> f64 {
        self.arrivals.0.max(RATE_MIN)
    }
}

fn is_contended(demands: &[Demand]) -> bool {
    let arrivals: f64 = demands.iter().map(|demand| demand.arrivals.0).sum();
    let answers: f64 = demands.iter().map(|demand| demand.answers.0).sum();
    answers < arrivals * (1.0 - UNANSWERED_SHARE_MAX)
}

/// Even share of each instance, used until other instances have reported.
///
/// ```
/// use citron_core::{admission::even_share, id::Slots};
/// assert_eq!(even_share(Slots(4), 10).slots(), 0.4);
/// ```
pub fn even_share(slots: Slots, instances: usize) -> SlotShare {
    SlotShare(f64::from(slots.0) / instances.max(1) as f64)
}
