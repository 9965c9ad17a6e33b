//! Budget that bounds the load of retries and hedges.

/// Size of a retry budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetConfig {
    /// Retries and hedges per request, on average.
    pub share: f64,
    /// Retries that can accumulate, so that a service with few requests can retry at all.
    pub burst: f64,
}

impl BudgetConfig {
    /// A retry for every fifth request, with up to ten accumulated.
    pub const STANDARD: Self = Self {
        share: 0.2,
        burst: 10.0,
    };

    /// No limit, for comparison in tests.
    pub const UNLIMITED: Self = Self {
        share: f64::INFINITY,
        burst: f64::INFINITY,
    };
}

/// Token bucket of one service on one traffic thread, filled by requests.
///
/// Without a budget, every request of a failing server is sent several times, and the
/// added load keeps the server overloaded after the cause has gone. The budget bounds the
/// total load to `1 + share` times the requests, whatever fails.
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
    /// Creates a full bucket.
    pub fn new(config: BudgetConfig) -> Self {
        Self {
            tokens: config.burst,
            config,
        }
    }

    /// Creates the bucket of a newly started process, with one token. Its predecessor may
    /// have spent a full bucket a moment ago, and when all processes start at once, full
    /// buckets would double the retries that they may add together.
    pub fn with_one_token(config: BudgetConfig) -> Self {
        Self {
            tokens: config.burst.min(1.0),
            config,
        }
    }

    /// Sets the capacity; tokens beyond it are lost.
    ///
    /// Processes that share a budget learn about each other one by one. A process that
    /// did not know any other yet would keep the tokens of all.
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

    /// Adds the share of one client request.
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
