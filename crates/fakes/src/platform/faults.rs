//! Faults of the fake platform, which a test changes at run time.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

/// Faults currently in effect.
#[derive(Debug, Clone, Default)]
pub struct FaultSettings {
    /// Whether the platform closes the connection of each request without a response and
    /// without an effect.
    pub is_down: bool,
    /// Delay added before each request is processed.
    pub delay: Duration,
    /// Number of next commits that take effect but whose responses are lost.
    pub lost_replies: u32,
    /// Number of next commits whose connections are closed without an effect.
    pub dropped_commits: u32,
}

/// Shared handle to the faults of a fake platform.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    settings: Arc<Mutex<FaultSettings>>,
}

impl Faults {
    /// Changes the faults with a closure.
    pub fn update(&self, change: impl FnOnce(&mut FaultSettings)) {
        change(&mut self.settings.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Returns a copy of the faults currently in effect.
    pub fn current(&self) -> FaultSettings {
        self.settings
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Decrements a counter of faults, and returns whether it was above 0.
    pub(crate) fn consume(&self, counter: impl FnOnce(&mut FaultSettings) -> &mut u32) -> bool {
        let mut settings = self.settings.lock().unwrap_or_else(PoisonError::into_inner);
        let remaining = counter(&mut settings);
        let is_due = *remaining > 0;
        *remaining = remaining.saturating_sub(1);
        is_due
    }
}
