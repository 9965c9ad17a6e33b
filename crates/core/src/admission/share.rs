//! How instances divide a backend server's slots without a central counter.

use {
    crate::id::{ParseIdError, Slots},
    std::{fmt, str::FromStr},
};

/// Part of the free slots that each instance may count on. More than the even
/// part lets a burst at one instance use slots that the others leave free; all of
/// it would let two bursts collide.
const SURPLUS: f64 = 0.5;
/// What an instance without demand may use, so that its first request starts.
const LEAST: f64 = 0.1;

/// Slots that an instance may hold on average; a fraction is held part of the time.
///
/// ```
/// use citron_core::admission::SlotShare;
/// assert_eq!("0.4".parse(), Ok(SlotShare::new(0.4)));
/// assert_eq!(SlotShare::new(0.4).to_string(), "0.400");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct SlotShare(f64);

impl SlotShare {
    /// Clamps to what makes sense: finite and not negative.
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

/// Divides a server's slots among instances by the slots that each would use.
///
/// Every instance works out the same list from the same reports, and reports
/// that differ a little only make the parts overlap a little: the server's
/// refusals and latency correct the rest.
///
/// Where demand exceeds the slots, all get the same part of their demand, so
/// that a caller's chance does not depend on the instance that it came to.
///
/// ```
/// use citron_core::{admission::{SlotShare, shares}, id::Slots};
/// let demands = [9.0, 3.0, 0.0].map(SlotShare::new);
/// let shares = shares(Slots(4), &demands);
/// assert!(shares[0].slots() > 2.5 && shares[1].slots() < 1.0 && shares[2].slots() > 0.0);
/// ```
pub fn shares(slots: Slots, demands: &[SlotShare]) -> Vec<SlotShare> {
    let slots = f64::from(slots.0);
    let wanted: f64 = demands.iter().map(|demand| demand.0.max(LEAST)).sum();
    let scale = (slots / wanted).min(1.0);
    let surplus = (slots - wanted).max(0.0) * SURPLUS;
    let share = |demand: &SlotShare| SlotShare(demand.0.max(LEAST) * scale + surplus);
    demands.iter().map(share).collect()
}

/// The same part for each instance: for as long as nothing was heard from others.
///
/// ```
/// use citron_core::{admission::even_share, id::Slots};
/// assert_eq!(even_share(Slots(4), 10).slots(), 0.4);
/// ```
pub fn even_share(slots: Slots, instances: usize) -> SlotShare {
    SlotShare(f64::from(slots.0) / instances.max(1) as f64)
}
