//! Log of the requests that a fake backend server executed.

use {
    serde::{Deserialize, Serialize},
    std::sync::{Arc, Mutex, PoisonError},
};

/// One executed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Name of the server.
    pub server: String,
    /// Scope from the request header; empty without the header.
    pub scope: String,
    /// Epoch from the request header; 0 without the header.
    pub epoch: u64,
    /// Path of the request.
    pub path: String,
    /// Id that the test set in the header `test-id`.
    pub id: String,
    /// Start time, in Unix microseconds of the machine's wall clock.
    pub at_us: u64,
    /// End time on the same clock; 0 while the request runs.
    #[serde(default)]
    pub end_us: u64,
}

/// Log of all executions of one server. Clones share the log.
#[derive(Debug, Clone, Default)]
pub struct ExecutionLog {
    executions: Arc<Mutex<Vec<Execution>>>,
}

impl ExecutionLog {
    /// Appends an execution and returns its index.
    pub fn push(&self, execution: Execution) -> usize {
        let mut executions = self
            .executions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        executions.push(execution);
        executions.len() - 1
    }

    /// Sets the end time of an execution, in Unix microseconds.
    pub fn finish(&self, index: usize, at: u64) {
        let mut executions = self
            .executions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        executions[index].end_us = at;
    }

    /// Sets the end time of all unfinished executions, in Unix microseconds.
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

    /// Returns whether a request of the scope with this epoch or a lower one still runs.
    pub fn is_running(&self, scope: &str, epoch: u64) -> bool {
        let executions = self
            .executions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let mut unfinished = executions.iter().filter(|execution| execution.end_us == 0);
        unfinished.any(|execution| execution.scope == scope && execution.epoch <= epoch)
    }

    /// Returns all executions so far, in order of their start.
    pub fn all(&self) -> Vec<Execution> {
        self.executions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
