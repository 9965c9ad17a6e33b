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

    /// A bucket of a process that has just started, with one retry in it. The process
    /// before may have spent a full one a moment ago, and when all processes start at
    /// once a full one for each would double what they may add together.
    pub fn with_one_token(config: BudgetConfig) -> Self {
        Self {
            tokens: config.burst.min(1.0),
            config,
        }
    }

    /// Sets how many retries may be saved up; what is beyond that is lost.
    ///
    /// Processes that share an allowance learn of each other one by one. One that
    /// knew of no other would keep the allowance of all.
    ///
    /// ```
    /// use citron_core::routing::{BudgetConfig, RetryBudget};
    /// let mut budget = RetryBudget::new(BudgetConfig { share: 0.2, burst: 9.0 });
    /// budget.set_burst(1.0);
    /// assert!(budget.take());
    /// assert!(!budget.take());
    /// ```
    pub fn set_burst(&mut self, burst: f64) {
        self.config.burst = burst;
        self.tokens = self.tokens.min(burst);
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
