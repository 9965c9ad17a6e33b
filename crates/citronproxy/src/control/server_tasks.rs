//! Tasks that run once for each backend server.

use {
    citron_core::id::ServerName,
    std::{collections::BTreeMap, future::Future},
    tokio::task::{JoinHandle, spawn_local},
};

/// One task for each server. Dropping this value aborts all of them.
#[derive(Debug, Default)]
pub struct ServerTasks {
    running: BTreeMap<ServerName, JoinHandle<()>>,
}

impl ServerTasks {
    /// Starts tasks for servers that have none or whose task has ended, and aborts those
    /// of servers that are not in `names`.
    pub fn reconcile<F>(&mut self, names: Vec<ServerName>, start: impl Fn(ServerName) -> F)
    where
        F: Future<Output = ()> + 'static,
    {
        let mut previous = std::mem::take(&mut self.running);
        for name in names {
            let running = previous.remove(&name).filter(|task| !task.is_finished());
            let task = running.unwrap_or_else(|| spawn_local(start(name.clone())));
            self.running.insert(name, task);
        }
        for task in previous.into_values() {
            task.abort();
        }
    }
}

impl Drop for ServerTasks {
    fn drop(&mut self) {
        for task in self.running.values() {
            task.abort();
        }
    }
}
