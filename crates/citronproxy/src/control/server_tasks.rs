//! What several tasks of control need.

use {
    citron_core::id::ServerName,
    std::{collections::BTreeMap, future::Future},
    tokio::task::{JoinHandle, spawn_local},
};

/// One task a server; all end with this value.
#[derive(Debug, Default)]
pub struct Tasks {
    running: BTreeMap<ServerName, JoinHandle<()>>,
}

impl Tasks {
    /// Starts tasks for new names, and ends those of others.
    pub fn keep<F>(&mut self, names: Vec<ServerName>, start: impl Fn(ServerName) -> F)
    where
        F: Future<Output = ()> + 'static,
    {
        let mut before = std::mem::take(&mut self.running);
        for name in names {
            let running = before.remove(&name).filter(|task| !task.is_finished());
            let task = running.unwrap_or_else(|| spawn_local(start(name.clone())));
            self.running.insert(name, task);
        }
        for task in before.into_values() {
            task.abort();
        }
    }
}

impl Drop for Tasks {
    fn drop(&mut self) {
        for task in self.running.values() {
            task.abort();
        }
    }
}
