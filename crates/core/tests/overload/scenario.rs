//! Settings of a simulation run.

use {
    crate::server::{WORK_FIXED, WORK_RANDOM},
    citron_core::{admission::AdmissionConfig, routing::BudgetConfig, time::Time},
    std::time::Duration,
};

/// Exchange of demand reports between instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reports {
    /// Shares are not computed.
    Unused,
    /// No report reaches another instance.
    Lost,
    /// All reports reach all instances.
    Delivered,
}

#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    pub slots: u32,
    /// Offered load divided by the capacity.
    pub load: f64,
    pub controller: AdmissionConfig,
    /// Share before and without exchanges; `None` for an even share.
    pub share: Option<f64>,
    pub reports: Reports,
    pub budget: BudgetConfig,
    /// Requests that the server queues before it refuses.
    pub backlog: usize,
    /// Time limit of an attempt, after which it is retried.
    pub attempt_timeout: Option<Duration>,
    /// How often a client sends a failed request again, at intervals of a second.
    pub resends: u32,
    /// Period in which all requests and responses are lost.
    pub outage: Option<(Time, Time)>,
    pub end: Time,
    pub seed: u64,
}

impl Scenario {
    pub fn capacity(&self) -> f64 {
        f64::from(self.slots) / (WORK_FIXED + WORK_RANDOM)
    }
}
