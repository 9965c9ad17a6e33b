//! Rate limit for moves that balance load.

use {crate::time::Time, std::time::Duration};

const MINUTE: Duration = Duration::from_secs(60);

/// Token bucket that holds at most the moves of one minute. It is full at first use.
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
    /// Available moves, multiplied by the microseconds of a minute.
    tokens: u128,
}

impl TokenBucket {
    /// Takes one move if available, at a rate of `per_minute` moves a minute.
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
