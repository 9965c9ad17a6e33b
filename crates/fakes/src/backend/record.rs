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
}

/// All runs of one server; clones share them.
#[derive(Debug, Clone, Default)]
pub struct Runs {
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Runs {
    /// Adds a run.
    pub fn push(&self, run: Run) {
        self.runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(run);
    }

    /// All so far, in order.
    pub fn all(&self) -> Vec<Run> {
        self.runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
