//! How many shards may still move for balance.

use {crate::time::Time, std::time::Duration};

const MINUTE: Duration = Duration::from_secs(60);

/// A token bucket that holds one minute's moves.
///
/// ```
/// use {citron_core::{placement::TokenBucket, time::Time}, std::time::Duration};
/// let mut budget = TokenBucket::default();
/// assert!(budget.try_take(1, Time::ZERO));
/// assert!(!budget.try_take(1, Time::ZERO));
/// assert!(budget.try_take(1, Time::ZERO + Duration::from_secs(60)));
/// ```
#[derive(Debug, Clone, Default)]
pub struct TokenBucket {
    refilled_at: Option<Time>,
    /// Moves times the microseconds of a minute.
    tokens: u128,
}

impl TokenBucket {
    /// Takes one move of `per_minute` a minute, if there is one.
    pub fn try_take(&mut self, per_minute: u32, now: Time) -> bool {
        let cost = MINUTE.as_micros();
        let full = u128::from(per_minute) * cost;
        let gained = match self.refilled_at {
            None => full,
            Some(refilled_at) => u128::from(per_minute) * (now - refilled_at).as_micros(),
        };
        self.refilled_at = Some(now);
        self.tokens = (self.tokens + gained).min(full);
        let has_token = self.tokens >= cost;
        if has_token {
            self.tokens -= cost;
        }
        has_token
    }
}
