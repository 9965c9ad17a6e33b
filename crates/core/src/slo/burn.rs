//! How fast an error budget is spent.

/// Minutes that a burn rate looks back on.
pub type WindowMinutes = u64;

/// Requests per million of a whole.
const PER_MILLION: f64 = 1_000_000.0;

/// How many times faster than allowed a budget is spent: at 1 it lasts exactly
/// as long as the objective's period, at 10 a tenth of it.
///
/// ```
/// use citron_core::slo::burn_rate;
/// assert_eq!(burn_rate(2, 1_000, 1_000), 2.0);
/// assert_eq!(burn_rate(0, 0, 1_000), 0.0);
/// assert_eq!(burn_rate(1, 10, 0), f64::INFINITY);
/// ```
pub fn burn_rate(bad: u64, total: u64, budget: u32) -> f64 {
    if bad == 0 || total == 0 {
        return 0.0;
    }
    let share = bad as f64 / total as f64;
    share / (f64::from(budget) / PER_MILLION)
}

/// When a burn rate calls for somebody: the long window says that it matters,
/// the short one that it is still going on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BurnRule {
    /// The short window, in minutes.
    pub short: WindowMinutes,
    /// The long window, in minutes.
    pub long: WindowMinutes,
    /// The rate that both must reach.
    pub rate: f64,
}

/// 2% of a 30-day budget within an hour.
pub const FAST_BURN: BurnRule = BurnRule {
    short: 5,
    long: 60,
    rate: 14.4,
};
/// 5% of a 30-day budget within six hours.
pub const SLOW_BURN: BurnRule = BurnRule {
    short: 30,
    long: 360,
    rate: 6.0,
};

/// What the burn rates of an objective call for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Alert {
    /// Nothing.
    None,
    /// Somebody should look within the day.
    Slow,
    /// Somebody should look now.
    Fast,
}
