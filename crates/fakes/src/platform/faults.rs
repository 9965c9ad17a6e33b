//! What goes wrong with the platform, set by a test while it runs.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

/// What goes wrong now.
#[derive(Debug, Clone, Default)]
pub struct Trouble {
    /// Calls are cut off without an answer, and have no effect.
    pub down: bool,
    /// Every answer takes so much longer.
    pub slow: Duration,
    /// The answers of the next so many commits are lost after taking effect.
    pub lost: u32,
    /// The next so many commits are cut off without effect.
    pub dropped: u32,
}

/// A shared handle to the platform's troubles.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    trouble: Arc<Mutex<Trouble>>,
}

impl Faults {
    /// Changes what goes wrong.
    pub fn set(&self, change: impl FnOnce(&mut Trouble)) {
        change(&mut self.trouble.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// What goes wrong now.
    pub fn get(&self) -> Trouble {
        self.trouble
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Whether one of a counted trouble is due; counts it.
    pub(crate) fn take(&self, count: impl FnOnce(&mut Trouble) -> &mut u32) -> bool {
        let mut trouble = self.trouble.lock().unwrap_or_else(PoisonError::into_inner);
        let left = count(&mut trouble);
        let due = *left > 0;
        *left = left.saturating_sub(1);
        due
    }
}
