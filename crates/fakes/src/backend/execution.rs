//! What a backend server ran, for tests to check.

use {
    serde::{Deserialize, Serialize},
    std::sync::{Arc, Mutex, PoisonError},
};

/// One request that was run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The server.
    pub server: String,
    /// The scope it was routed under; empty if none was sent.
    pub scope: String,
    /// The epoch it was routed under; 0 if none was sent.
    pub epoch: u64,
    /// Its path.
    pub path: String,
    /// The caller's mark, from the header `test-id`.
    pub id: String,
    /// When it began, microseconds on the wall clock of the machine.
    pub at_us: u64,
    /// When it ended, on the same clock; 0 while it runs.
    #[serde(default)]
    pub end_us: u64,
}

/// All runs of one server; clones share them.
#[derive(Debug, Clone, Default)]
pub struct Runs {
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Runs {
    /// Adds a run, and gives its number.
    pub fn push(&self, run: Run) -> usize {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.push(run);
        runs.len() - 1
    }

    /// Notes that a run has ended.
    pub fn end(&self, number: usize, at: u64) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs[number].end_us = at;
    }

    /// Notes that all runs have ended.
    pub fn end_all(&self, at: u64) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        for run in runs.iter_mut().filter(|run| run.end_us == 0) {
            run.end_us = at;
        }
    }

    /// Whether a run of a scope up to an epoch has not ended.
    pub fn running(&self, scope: &str, epoch: u64) -> bool {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        let mut open = runs.iter().filter(|run| run.end_us == 0);
        open.any(|run| run.scope == scope && run.epoch <= epoch)
    }

    /// All so far, in order.
    pub fn all(&self) -> Vec<Run> {
        self.runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
