//! How many shards may still move for balance.

use {crate::time::Time, std::time::Duration};

const MINUTE: Duration = Duration::from_secs(60);

/// A token bucket that holds one minute's moves.
///
/// ```
/// use {citron_core::{placement::Budget, time::Time}, std::time::Duration};
/// let mut budget = Budget::default();
/// assert!(budget.take(1, Time::ZERO));
/// assert!(!budget.take(1, Time::ZERO));
/// assert!(budget.take(1, Time::ZERO + Duration::from_secs(60)));
/// ```
#[derive(Debug, Clone, Default)]
pub struct Budget {
    filled: Option<Time>,
    /// Moves times the microseconds of a minute.
    tokens: u128,
}

impl Budget {
    /// Takes one move of `minute` a minute, if there is one.
    pub fn take(&mut self, minute: u32, now: Time) -> bool {
        let cost = MINUTE.as_micros();
        let full = u128::from(minute) * cost;
        let gained = match self.filled {
            None => full,
            Some(filled) => u128::from(minute) * (now - filled).as_micros(),
        };
        self.filled = Some(now);
        self.tokens = (self.tokens + gained).min(full);
        let enough = self.tokens >= cost;
        if enough {
            self.tokens -= cost;
        }
        enough
    }
}
