//! What a backend server ran, for tests to check.

use {
    serde::{Deserialize, Serialize},
    std::sync::{Arc, Mutex, PoisonError},
};

/// One request that was run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
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
pub struct ExecutionLog {
    executions: Arc<Mutex<Vec<Execution>>>,
}

impl ExecutionLog {
    /// Adds a run, and gives its number.
    pub fn push(&self, execution: Execution) -> usize {
        let mut executions = self
            .executions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        executions.push(execution);
        executions.len() - 1
    }

    /// Notes that a run has ended.
    pub fn finish(&self, index: usize, at: u64) {
        let mut executions = self
            .executions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        executions[index].end_us = at;
    }

    /// Notes that all runs have ended.
    pub fn finish_all(&self, at: u64) {
        let mut executions = self
            .executions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for execution in executions
            .iter_mut()
            .filter(|execution| execution.end_us == 0)
        {
            execution.end_us = at;
        }
    }

    /// Whether a run of a scope up to an epoch has not ended.
    pub fn is_running(&self, scope: &str, epoch: u64) -> bool {
        let executions = self
            .executions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let mut unfinished = executions.iter().filter(|execution| execution.end_us == 0);
        unfinished.any(|execution| execution.scope == scope && execution.epoch <= epoch)
    }

    /// All so far, in order.
    pub fn all(&self) -> Vec<Execution> {
        self.executions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
