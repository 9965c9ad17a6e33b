//! Burn rates of error budgets, and alerts.

/// Length of the window of a burn rate, in minutes.
pub type WindowMinutes = u64;

/// Divisor of a budget in requests per million.
const PER_MILLION: f64 = 1_000_000.0;

/// The burn rate: how many times faster than allowed an error budget is spent. At 1 the
/// budget lasts for exactly the period of the objective, at 10 for a tenth of it.
/// `budget` is in requests per million.
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

/// Multi-window alert rule: the burn rate over the long window shows that the problem is
/// significant, the one over the short window that it persists.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BurnRule {
    /// The short window, in minutes.
    pub short: WindowMinutes,
    /// The long window, in minutes.
    pub long: WindowMinutes,
    /// Burn rate that both windows must reach.
    pub rate: f64,
}

/// Rule for spending 2% of a 30-day budget within an hour.
pub const FAST_BURN: BurnRule = BurnRule {
    short: 5,
    long: 60,
    rate: 14.4,
};
/// Rule for spending 5% of a 30-day budget within six hours.
pub const SLOW_BURN: BurnRule = BurnRule {
    short: 30,
    long: 360,
    rate: 6.0,
};

/// Alert level of an objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Alert {
    /// No alert.
    None,
    /// The operator should react within a day.
    Slow,
    /// The operator should react immediately.
    Fast,
}
