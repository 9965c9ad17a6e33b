//! Commits that take effect exactly once, even if their responses are lost.

use {
    crate::{
        DecodeError, HistoryEntry, HistoryRead, Machine, MachineList, ObjectStore, PlatformError,
        TableRead, TableService, TableStore,
    },
    citron_core::{
        id::Revision,
        table::{Check, Commit, CommitOutcome, HistoryRow, Row, Versioned, Write},
    },
    citron_wire::{
        row::{RowWire, parse_row_key},
        table::{
            CheckWire, CommitWire, HistoryWire, LOG_PREFIX, StoredRowWire, WRITER_PREFIX, WriteWire,
        },
    },
    serde_json::{Value, json},
    std::{fmt::Display, time::Duration},
    tokio::sync::Mutex,
};

/// Largest number of attempts of a commit before its outcome is reported as unknown.
const MAX_ATTEMPTS: u32 = 6;
/// Delay before the first resend. It doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// State of a writer's own row, as far as the writer knows.
#[derive(Debug, Default)]
struct WriterState {
    /// Version of the row; 0 if the row does not exist.
    version: u64,
    /// Sequence number of the last commit that was started.
    sequence: u64,
}

/// A [`TableStore`] over a [`TableService`] whose responses may be lost.
///
/// If a commit takes effect but its response is lost, a resend conflicts with the versions
/// that the commit itself wrote, and an accepted edit would be reported as a conflict.
/// Therefore each commit also writes the commit's sequence number to a row of the writer's
/// own, conditional on that row's previous version. The resend then conflicts on this row
/// first, and the sequence number in it shows that the commit took effect. The condition
/// holds only once, so a commit never takes effect twice.
#[derive(Debug)]
pub struct IdempotentStore<S> {
    service: S,
    writer: String,
    state: Mutex<WriterState>,
}

/// Result of one attempt of a commit.
enum Attempt {
    Committed(Revision),
    Conflict(StoredRowWire),
    /// The known version of the writer's row was outdated; it has been updated, and the
    /// commit can be sent again.
    Retry,
}

impl<S: TableService> IdempotentStore<S> {
    /// Creates a store for one writer. Its name must be unique to each process start, as
    /// sequence numbers restart with the process.
    pub fn new(service: S, writer: String) -> Self {
        let state = Mutex::new(WriterState::default());
        Self {
            service,
            writer,
            state,
        }
    }

    /// Returns the underlying table service.
    pub fn service(&self) -> &S {
        &self.service
    }

    fn writer_key(&self) -> String {
        format!("{WRITER_PREFIX}{}", self.writer)
    }

    fn commit_wire(&self, commit: &Commit, checks: &[Check], state: &WriterState) -> CommitWire {
        // The writer's row comes first, as the service reports the first conflicting row.
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
    async fn changes(&self, since: Revision) -> Result<TableRead, PlatformError> {
        let wire = self.service.changes(since.0).await?;
        let mut unreadable = Vec::new();
        let changes = wire.into_changes(|key, error| unreadable.push(decode_error(key, &error)));
        Ok(TableRead {
            changes,
            unreadable,
        })
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

    async fn history(&self, after: Revision, limit: usize) -> Result<HistoryRead, PlatformError> {
        let log = self.service.log(after.0, limit).await?;
        let (mut entries, mut unreadable) = (Vec::new(), Vec::new());
        for stored in log.rows {
            let key = stored.key.clone();
            match history_entry(stored) {
                Ok(entry) => entries.push(entry),
                Err(error) => unreadable.push(decode_error(key, &error)),
            }
        }
        Ok(HistoryRead {
            entries,
            unreadable,
        })
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

fn decode_error(key: String, error: &impl Display) -> DecodeError {
    let reason = error.to_string();
    DecodeError { key, reason }
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
