//! How much retries and hedges may add to the load.

/// The size of a retry budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetConfig {
    /// Retries and hedges allowed for each request, over time.
    pub share: f64,
    /// Retries that may be saved up, so that an idle service can retry at all.
    pub burst: f64,
}

impl BudgetConfig {
    /// A fifth of the requests, ten saved up.
    pub const STANDARD: Self = Self {
        share: 0.2,
        burst: 10.0,
    };

    /// No limit: for comparison in tests.
    pub const UNLIMITED: Self = Self {
        share: f64::INFINITY,
        burst: f64::INFINITY,
    };
}

/// Token bucket of one service on one traffic thread, filled by requests.
///
/// Without it, every request of a server in trouble is sent several times: the
/// added load keeps the server in trouble after the cause has gone. A share of
/// the requests bounds the load that retries add to `1 + share`, whatever fails.
///
/// ```
/// use citron_core::routing::{BudgetConfig, RetryBudget};
/// let mut budget = RetryBudget::new(BudgetConfig { share: 0.5, burst: 1.0 });
/// assert!(budget.take());
/// assert!(!budget.take());
/// budget.deposit();
/// budget.deposit();
/// assert!(budget.take());
/// ```
#[derive(Debug)]
pub struct RetryBudget {
    config: BudgetConfig,
    tokens: f64,
}

impl RetryBudget {
    /// A full bucket.
    pub fn new(config: BudgetConfig) -> Self {
        Self {
            tokens: config.burst,
            config,
        }
    }

    /// Counts a request that a caller sent.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.config.share).min(self.config.burst);
    }

    /// Takes the token of a retry or a hedge; `false` if there is none.
    pub fn take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
