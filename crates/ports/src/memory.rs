//! In-memory platform for `citronproxy dev` and for the fake platform server of tests.

use {
    crate::{Machine, MachineList, MachineState, ObjectStore, PlatformError, TableService},
    citron_wire::table::{
        ChangesWire, CommitResponseWire, CommitWire, LOG_PREFIX, LogWire, StoredRowWire,
        WRITER_PREFIX, WriteWire,
    },
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
};

#[derive(Debug, Default)]
struct State {
    revision: u64,
    rows: BTreeMap<String, StoredRowWire>,
    objects: BTreeMap<String, Vec<u8>>,
    machines: BTreeMap<String, MachineState>,
}

/// In-memory table, object store and machine list. Clones share their state.
///
/// ```
/// use citron_ports::{MemoryPlatform, TableService};
/// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
/// let memory = MemoryPlatform::default();
/// assert_eq!(memory.changes(0).await.unwrap().revision, 0);
/// # });
/// ```
#[derive(Debug, Clone, Default)]
pub struct MemoryPlatform {
    state: Arc<Mutex<State>>,
}

impl MemoryPlatform {
    /// Sets the state of a machine in the machine list. `None` removes the machine.
    pub fn set_machine(&self, name: &str, state: Option<MachineState>) {
        let mut guard = self.lock();
        match state {
            Some(state) => guard.machines.insert(name.to_string(), state),
            None => guard.machines.remove(name),
        };
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn commit(&mut self, commit: &CommitWire) -> CommitResponseWire {
        let writes = commit.writes.iter().map(|write| (&write.key, write.expect));
        let checks = commit.checks.iter().map(|check| (&check.key, check.expect));
        let mut conditions = writes.chain(checks);
        let lost = conditions.find_map(|(key, expect)| self.find_conflict(key, expect));
        if lost.is_some() {
            let revision = None;
            return CommitResponseWire { revision, lost };
        }
        self.revision += 1;
        for write in &commit.writes {
            self.write(write);
        }
        CommitResponseWire {
            revision: Some(self.revision),
            lost: None,
        }
    }

    /// Returns the current row if its version is not the expected one.
    fn find_conflict(&self, key: &str, expect: u64) -> Option<StoredRowWire> {
        let current = self.rows.get(key).filter(|row| row.value.is_some());
        let version = current.map_or(0, |row| row.version);
        if version == expect {
            return None;
        }
        Some(StoredRowWire {
            key: key.to_string(),
            version,
            value: current.and_then(|row| row.value.clone()),
        })
    }

    fn write(&mut self, write: &WriteWire) {
        let row = StoredRowWire {
            key: write.key.clone(),
            version: self.revision,
            value: write.value.clone(),
        };
        self.rows.insert(write.key.clone(), row);
    }
}

/// Whether a row belongs to the table proper and is neither a history entry nor a writer's
/// sequence row.
fn is_table_row(row: &StoredRowWire) -> bool {
    !row.key.starts_with(LOG_PREFIX) && !row.key.starts_with(WRITER_PREFIX)
}

impl TableService for MemoryPlatform {
    async fn changes(&self, since: u64) -> Result<ChangesWire, PlatformError> {
        let state = self.lock();
        let changed = state.rows.values().filter(|row| row.version > since);
        Ok(ChangesWire {
            since,
            revision: state.revision,
            rows: changed.filter(|row| is_table_row(row)).cloned().collect(),
        })
    }

    async fn commit(&self, commit: &CommitWire) -> Result<CommitResponseWire, PlatformError> {
        Ok(self.lock().commit(commit))
    }

    async fn row(&self, key: &str) -> Result<Option<StoredRowWire>, PlatformError> {
        let state = self.lock();
        let row = state.rows.get(key).filter(|row| row.value.is_some());
        Ok(row.cloned())
    }

    async fn log(&self, after: u64, limit: usize) -> Result<LogWire, PlatformError> {
        let state = self.lock();
        let log = state
            .rows
            .values()
            .filter(|row| row.key.starts_with(LOG_PREFIX));
        let mut rows: Vec<StoredRowWire> = log.filter(|row| row.version > after).cloned().collect();
        rows.sort_by_key(|row| row.version);
        rows.truncate(limit);
        Ok(LogWire { rows })
    }
}

impl ObjectStore for MemoryPlatform {
    async fn put(&self, name: &str, bytes: Vec<u8>) -> Result<(), PlatformError> {
        self.lock().objects.insert(name.to_string(), bytes);
        Ok(())
    }

    async fn get(&self, name: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        Ok(self.lock().objects.get(name).cloned())
    }

    async fn list(&self, prefix: &str) -> Result<Vec<String>, PlatformError> {
        let state = self.lock();
        let names = state.objects.keys().filter(|name| name.starts_with(prefix));
        Ok(names.cloned().collect())
    }
}

impl MachineList for MemoryPlatform {
    async fn list(&self) -> Result<Vec<Machine>, PlatformError> {
        let state = self.lock();
        let machines = state.machines.iter().map(|(name, state)| Machine {
            name: name.clone(),
            state: *state,
        });
        Ok(machines.collect())
    }
}
