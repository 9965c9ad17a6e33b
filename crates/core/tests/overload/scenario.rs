//! What a run of the bench is made of.

use {
    crate::server::{WORK_FIXED, WORK_RANDOM},
    citron_core::{admission::AdmissionConfig, routing::BudgetConfig, time::Time},
    std::time::Duration,
};

/// What instances hear of each other's demand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reports {
    /// Shares are not worked out at all.
    Unused,
    /// Nobody hears of another.
    Lost,
    /// All hear of all.
    Delivered,
}

#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    pub slots: u32,
    /// Offered load over capacity.
    pub load: f64,
    pub controller: AdmissionConfig,
    /// The share before and without exchanges; `None` for the even part.
    pub share: Option<f64>,
    pub reports: Reports,
    pub budget: BudgetConfig,
    /// Requests the server keeps waiting before it refuses.
    pub backlog: usize,
    /// Time a try may take before it is given up for a retry.
    pub progress: Option<Duration>,
    /// How often a caller sends a failed request again, a second apart.
    pub resends: u32,
    /// What is sent or answered then is lost without a sign.
    pub outage: Option<(Time, Time)>,
    pub end: Time,
    pub seed: u64,
}

impl Scenario {
    pub fn capacity(&self) -> f64 {
        f64::from(self.slots) / (WORK_FIXED + WORK_RANDOM)
    }
}
