//! Commits that take effect once, whatever becomes of their answers.

use {
    crate::{
        HistoryEntry, InstanceList, Listed, ObjectStore, PlatformError, TableService, TableStore,
    },
    citron_core::{
        id::Revision,
        table::{Changes, Check, Commit, CommitOutcome, HistoryRow, Row, Versioned, Write},
    },
    citron_wire::{
        row::{RowWire, parse_row_key},
        table::{
            CheckWire, CommitWire, HistoryWire, LANE_PREFIX, LOG_PREFIX, StoredWire, WriteWire,
        },
    },
    serde_json::{Value, json},
    std::time::Duration,
    tokio::sync::Mutex,
};

/// How often a commit without an answer is sent again before it is given up.
const SENDS: u32 = 6;
/// The pause before the first resend; it doubles each time.
const PAUSE: Duration = Duration::from_millis(50);

/// The last commit of one writer, as far as the writer knows.
#[derive(Debug, Default)]
struct Lane {
    /// Version of the lane's row; 0 while there is none.
    version: u64,
    /// Number of the last commit begun.
    last: u64,
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
pub struct LaneStore<S> {
    service: S,
    writer: String,
    lane: Mutex<Lane>,
}

enum Sent {
    Done(Revision),
    Lost(StoredWire),
    /// The lane was behind; it is up to date now.
    Again,
}

impl<S: TableService> LaneStore<S> {
    /// A store for one writer. The name must be new at each process start: the
    /// numbers of commits begin anew.
    pub fn new(service: S, writer: String) -> Self {
        let lane = Mutex::new(Lane::default());
        Self {
            service,
            writer,
            lane,
        }
    }

    /// The service below.
    pub fn service(&self) -> &S {
        &self.service
    }

    fn lane_key(&self) -> String {
        format!("{LANE_PREFIX}{}", self.writer)
    }

    fn wire(&self, commit: &Commit, checks: &[Check], lane: &Lane) -> CommitWire {
        // The lane goes first: the service names the first row that fails.
        let mut writes = vec![WriteWire {
            key: self.lane_key(),
            expect: lane.version,
            value: Some(json!({ "last": lane.last })),
        }];
        writes.extend(commit.writes.iter().map(write_wire));
        if let Some(history) = &commit.history {
            writes.push(self.history_write(history, lane.last));
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
        lane: &mut Lane,
    ) -> Result<Sent, PlatformError> {
        let wire = self.wire(commit, checks, lane);
        let answer = self.service.commit(&wire).await?;
        if let Some(revision) = answer.revision {
            lane.version = revision;
            return Ok(Sent::Done(Revision(revision)));
        }
        let no_answer = || PlatformError::Answer("neither revision nor lost row".to_string());
        let lost = answer.lost.ok_or_else(no_answer)?;
        if lost.key != self.lane_key() {
            return Ok(Sent::Lost(lost));
        }
        lane.version = lost.version;
        if last_of(&lost) == Some(lane.last) {
            return Ok(Sent::Done(Revision(lost.version)));
        }
        Ok(Sent::Again)
    }
}

impl<S: TableService> TableStore for LaneStore<S> {
    async fn changes(&self, since: Revision) -> Result<Changes, PlatformError> {
        let wire = self.service.changes(since.0).await?;
        Ok(Changes::try_from(wire)?)
    }

    async fn commit_checked(
        &self,
        commit: Commit,
        checks: &[Check],
    ) -> Result<CommitOutcome, PlatformError> {
        let mut lane = self.lane.lock().await;
        lane.last += 1;
        let mut pause = PAUSE;
        let mut last_error = String::new();
        for _ in 0..SENDS {
            match self.send(&commit, checks, &mut lane).await {
                Ok(Sent::Done(revision)) => return Ok(CommitOutcome::Committed(revision)),
                Ok(Sent::Lost(lost)) => return lost_answer(lost),
                Ok(Sent::Again) => continue,
                Err(error) => last_error = error.to_string(),
            }
            tokio::time::sleep(pause).await;
            pause *= 2;
        }
        Err(PlatformError::Unsettled(last_error))
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

impl<S: ObjectStore> ObjectStore for LaneStore<S> {
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

impl<S: InstanceList> InstanceList for LaneStore<S> {
    async fn list(&self) -> Result<Vec<Listed>, PlatformError> {
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

fn last_of(lane: &StoredWire) -> Option<u64> {
    lane.value.as_ref()?.get("last")?.as_u64()
}

fn lost_answer(lost: StoredWire) -> Result<CommitOutcome, PlatformError> {
    let key = parse_row_key(&lost.key)?;
    let Some(value) = lost.value else {
        return Ok(CommitOutcome::Conflict { key, current: None });
    };
    let wire: RowWire = read(value)?;
    let current = Versioned {
        version: Revision(lost.version),
        value: Row::try_from(wire)?,
    };
    Ok(CommitOutcome::Conflict {
        key,
        current: Some(Box::new(current)),
    })
}

fn history_entry(stored: StoredWire) -> Result<HistoryEntry, PlatformError> {
    let wire: HistoryWire = read(stored.value.unwrap_or(Value::Null))?;
    Ok(Versioned {
        version: Revision(stored.version),
        value: HistoryRow::try_from(wire)?,
    })
}

fn read<T: serde::de::DeserializeOwned>(value: Value) -> Result<T, PlatformError> {
    serde_json::from_value(value).map_err(|error| PlatformError::Answer(error.to_string()))
}
