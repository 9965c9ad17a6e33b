//! What goes wrong with the platform, set by a test while it runs.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

/// What goes wrong now.
#[derive(Debug, Clone, Default)]
pub struct FaultSettings {
    /// Calls are cut off without an answer, and have no effect.
    pub is_down: bool,
    /// Every answer takes so much longer.
    pub delay: Duration,
    /// The answers of the next so many commits are lost after taking effect.
    pub lost_replies: u32,
    /// The next so many commits are cut off without effect.
    pub dropped_commits: u32,
}

/// A shared handle to the platform's troubles.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    settings: Arc<Mutex<FaultSettings>>,
}

impl Faults {
    /// Changes what goes wrong.
    pub fn update(&self, change: impl FnOnce(&mut FaultSettings)) {
        change(&mut self.settings.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// What goes wrong now.
    pub fn current(&self) -> FaultSettings {
        self.settings
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Whether one of a counted trouble is due; counts it.
    pub(crate) fn consume(&self, counter: impl FnOnce(&mut FaultSettings) -> &mut u32) -> bool {
        let mut settings = self.settings.lock().unwrap_or_else(PoisonError::into_inner);
        let remaining = counter(&mut settings);
        let is_due = *remaining > 0;
        *remaining = remaining.saturating_sub(1);
        is_due
    }
}
