//! What the table service takes and gives. Values are opaque to it.

use {
    crate::{
        WireError,
        row::{RowWire, parse_row_key},
    },
    citron_core::{
        id::Revision,
        table::{Changes, HistoryRow, Row, RowChange},
    },
    serde::{Deserialize, Serialize},
    serde_json::Value,
    std::time::Duration,
};

/// A stored value; `value` is null for a deleted row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredRowWire {
    /// Its key.
    pub key: String,
    /// The revision of the commit that wrote it.
    pub version: u64,
    /// What was written.
    pub value: Option<Value>,
}

/// Rows that changed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ChangesWire {
    /// The revision asked for.
    pub since: u64,
    /// The last commit.
    pub revision: u64,
    /// The rows changed in between.
    pub rows: Vec<StoredRowWire>,
}

/// One conditional write.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WriteWire {
    /// The key.
    pub key: String,
    /// The version it must have; 0 if it must not exist.
    pub expect: u64,
    /// The new value; null deletes.
    pub value: Option<Value>,
}

/// The version that a row the commit leaves alone must have.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CheckWire {
    /// The key.
    pub key: String,
    /// The version; 0 if the row must not exist.
    pub expect: u64,
}

/// Writes that take effect together or not at all.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CommitWire {
    /// The writes.
    pub writes: Vec<WriteWire>,
    /// Compared after the writes' own conditions.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub checks: Vec<CheckWire>,
}

/// What became of a commit: `revision` if it took effect, else `lost`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CommitResponseWire {
    /// The new revision.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
    /// The first row whose version was another; version 0 if it is not there.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lost: Option<StoredRowWire>,
}

/// A row before and after an edit.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RowChangeWire {
    /// The row's key.
    pub key: String,
    /// What it was.
    pub before: Option<RowWire>,
    /// What it became.
    pub after: Option<RowWire>,
}

/// An accepted edit.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HistoryWire {
    /// Who made it.
    pub by: String,
    /// When, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// What changed.
    pub changes: Vec<RowChangeWire>,
}

/// History rows, oldest first; their version gives their order.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LogWire {
    /// The rows.
    pub rows: Vec<StoredRowWire>,
}

fn decode_row(value: Value) -> Result<Row, WireError> {
    let found = value.to_string();
    let wire: RowWire = serde_json::from_value(value).map_err(|error| WireError::InvalidValue {
        field: "value".to_string(),
        found,
        allowed: error.to_string(),
    })?;
    Row::try_from(wire)
}

impl TryFrom<ChangesWire> for Changes {
    type Error = WireError;

    fn try_from(wire: ChangesWire) -> Result<Self, WireError> {
        let mut rows = Vec::with_capacity(wire.rows.len());
        for stored in wire.rows {
            let key = parse_row_key(&stored.key)?;
            let row = stored.value.map(decode_row).transpose()?;
            rows.push((key, Revision(stored.version), row));
        }
        Ok(Self {
            since: Revision(wire.since),
            revision: Revision(wire.revision),
            rows,
        })
    }
}

impl From<&RowChange> for RowChangeWire {
    fn from(core: &RowChange) -> Self {
        Self {
            key: core.key.to_string(),
            before: core.before.as_ref().map(RowWire::from),
            after: core.after.as_ref().map(RowWire::from),
        }
    }
}

impl TryFrom<RowChangeWire> for RowChange {
    type Error = WireError;

    fn try_from(wire: RowChangeWire) -> Result<Self, WireError> {
        Ok(Self {
            key: parse_row_key(&wire.key)?,
            before: wire.before.map(Row::try_from).transpose()?,
            after: wire.after.map(Row::try_from).transpose()?,
        })
    }
}

impl From<&HistoryRow> for HistoryWire {
    fn from(core: &HistoryRow) -> Self {
        Self {
            by: core.author.clone(),
            at_ms: u64::try_from(core.time.as_millis()).unwrap_or(u64::MAX),
            changes: core.changes.iter().map(RowChangeWire::from).collect(),
        }
    }
}

impl TryFrom<HistoryWire> for HistoryRow {
    type Error = WireError;

    fn try_from(wire: HistoryWire) -> Result<Self, WireError> {
        let changes = wire.changes.into_iter().map(RowChange::try_from);
        Ok(Self {
            author: wire.by,
            time: Duration::from_millis(wire.at_ms),
            changes: changes.collect::<Result<_, _>>()?,
        })
    }
}
