//! Commits that take effect once, whatever becomes of their answers.

use {
    crate::{
        HistoryEntry, Machine, MachineList, ObjectStore, PlatformError, TableService, TableStore,
    },
    citron_core::{
        id::Revision,
        table::{Changes, Check, Commit, CommitOutcome, HistoryRow, Row, Versioned, Write},
    },
    citron_wire::{
        row::{RowWire, parse_row_key},
        table::{
            CheckWire, CommitWire, HistoryWire, LOG_PREFIX, StoredRowWire, WRITER_PREFIX, WriteWire,
        },
    },
    serde_json::{Value, json},
    std::time::Duration,
    tokio::sync::Mutex,
};

/// How often a commit without an answer is sent again before it is given up.
const MAX_ATTEMPTS: u32 = 6;
/// The pause before the first resend; it doubles each time.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// The last commit of one writer, as far as the writer knows.
#[derive(Debug, Default)]
struct WriterState {
    /// Version of the lane's row; 0 while there is none.
    version: u64,
    /// Number of the last commit begun.
    sequence: u64,
}

/// A [`TableStore`] over a [`TableService`] that may lose answers.
///
/// Each commit also writes the writer's own row, its lane, with the commit's
/// number, on condition of the version that the lane had before. The failure:
/// the commit takes effect but its answer is lost, and the resend would be
/// refused by the very versions that the commit made, so that an accepted edit
/// is reported as a lost race. With the lane, the resend fails on the lane
/// first, and the number found there says that the commit took effect. It can
/// never take effect twice, as its condition holds only once.
#[derive(Debug)]
pub struct IdempotentStore<S> {
    service: S,
    writer: String,
    state: Mutex<WriterState>,
}

enum Attempt {
    Committed(Revision),
    Conflict(StoredRowWire),
    /// The lane was behind; it is up to date now.
    Retry,
}

impl<S: TableService> IdempotentStore<S> {
    /// A store for one writer. The name must be new at each process start: the
    /// numbers of commits begin anew.
    pub fn new(service: S, writer: String) -> Self {
        let state = Mutex::new(WriterState::default());
        Self {
            service,
            writer,
            state,
        }
    }

    /// The service below.
    pub fn service(&self) -> &S {
        &self.service
    }

    fn writer_key(&self) -> String {
        format!("{WRITER_PREFIX}{}", self.writer)
    }

    fn commit_wire(&self, commit: &Commit, checks: &[Check], state: &WriterState) -> CommitWire {
        // The lane goes first: the service names the first row that fails.
        let mut writes = vec![WriteWire {
            key: self.writer_key(),
            expect: state.version,
            value: Some(json!({ "last": state.sequence })),
        }];
        writes.extend(commit.writes.iter().map(write_wire));
        if let Some(history) = &commit.history {
            writes.push(self.history_write(history, state.sequence));
        }
        let checks = checks.iter().map(check_wire).collect();
        CommitWire { writes, checks }
    }

    fn history_write(&self, history: &HistoryRow, id: u64) -> WriteWire {
        WriteWire {
            key: format!("{LOG_PREFIX}{}/{id}", self.writer),
            expect: 0,
            value: Some(to_value(&HistoryWire::from(history))),
        }
    }

    async fn send(
        &self,
        commit: &Commit,
        checks: &[Check],
        state: &mut WriterState,
    ) -> Result<Attempt, PlatformError> {
        let wire = self.commit_wire(commit, checks, state);
        let answer = self.service.commit(&wire).await?;
        if let Some(revision) = answer.revision {
            state.version = revision;
            return Ok(Attempt::Committed(Revision(revision)));
        }
        let missing =
            || PlatformError::InvalidResponse("neither revision nor lost row".to_string());
        let conflict = answer.lost.ok_or_else(missing)?;
        if conflict.key != self.writer_key() {
            return Ok(Attempt::Conflict(conflict));
        }
        state.version = conflict.version;
        if stored_sequence(&conflict) == Some(state.sequence) {
            return Ok(Attempt::Committed(Revision(conflict.version)));
        }
        Ok(Attempt::Retry)
    }
}

impl<S: TableService> TableStore for IdempotentStore<S> {
    async fn changes(&self, since: Revision) -> Result<Changes, PlatformError> {
        let wire = self.service.changes(since.0).await?;
        Ok(Changes::try_from(wire)?)
    }

    async fn commit_checked(
        &self,
        commit: Commit,
        checks: &[Check],
    ) -> Result<CommitOutcome, PlatformError> {
        let mut state = self.state.lock().await;
        state.sequence += 1;
        let mut backoff = INITIAL_BACKOFF;
        let mut last_error = String::new();
        for _ in 0..MAX_ATTEMPTS {
            match self.send(&commit, checks, &mut state).await {
                Ok(Attempt::Committed(revision)) => return Ok(CommitOutcome::Committed(revision)),
                Ok(Attempt::Conflict(conflict)) => return conflict_outcome(conflict),
                Ok(Attempt::Retry) => continue,
                Err(error) => last_error = error.to_string(),
            }
            tokio::time::sleep(backoff).await;
            backoff *= 2;
        }
        Err(PlatformError::OutcomeUnknown(last_error))
    }

    async fn history(
        &self,
        after: Revision,
        limit: usize,
    ) -> Result<Vec<HistoryEntry>, PlatformError> {
        let log = self.service.log(after.0, limit).await?;
        log.rows.into_iter().map(history_entry).collect()
    }
}

impl<S: ObjectStore> ObjectStore for IdempotentStore<S> {
    async fn put(&self, name: &str, bytes: Vec<u8>) -> Result<(), PlatformError> {
        self.service.put(name, bytes).await
    }

    async fn get(&self, name: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        self.service.get(name).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<String>, PlatformError> {
        self.service.list(prefix).await
    }
}

impl<S: MachineList> MachineList for IdempotentStore<S> {
    async fn list(&self) -> Result<Vec<Machine>, PlatformError> {
        self.service.list().await
    }
}

fn to_value(wire: &impl serde::Serialize) -> Value {
    serde_json::to_value(wire).unwrap_or(Value::Null)
}

fn write_wire(write: &Write) -> WriteWire {
    WriteWire {
        key: write.key.to_string(),
        expect: write.expect.0,
        value: write.row.as_ref().map(|row| to_value(&RowWire::from(row))),
    }
}

fn check_wire(check: &Check) -> CheckWire {
    CheckWire {
        key: check.key.to_string(),
        expect: check.expect.0,
    }
}

fn stored_sequence(state: &StoredRowWire) -> Option<u64> {
    state.value.as_ref()?.get("last")?.as_u64()
}

fn conflict_outcome(conflict: StoredRowWire) -> Result<CommitOutcome, PlatformError> {
    let key = parse_row_key(&conflict.key)?;
    let Some(value) = conflict.value else {
        return Ok(CommitOutcome::Conflict { key, current: None });
    };
    let wire: RowWire = decode(value)?;
    let current = Versioned {
        version: Revision(conflict.version),
        value: Row::try_from(wire)?,
    };
    Ok(CommitOutcome::Conflict {
        key,
        current: Some(Box::new(current)),
    })
}

fn history_entry(stored: StoredRowWire) -> Result<HistoryEntry, PlatformError> {
    let wire: HistoryWire = decode(stored.value.unwrap_or(Value::Null))?;
    Ok(Versioned {
        version: Revision(stored.version),
        value: HistoryRow::try_from(wire)?,
    })
}

fn decode<T: serde::de::DeserializeOwned>(value: Value) -> Result<T, PlatformError> {
    serde_json::from_value(value).map_err(|error| PlatformError::InvalidResponse(error.to_string()))
}
