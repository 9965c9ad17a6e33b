//! Requests and responses of the table service. Values are opaque to the service.

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

/// A stored row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredRowWire {
    /// Key of the row.
    pub key: String,
    /// Revision of the commit that wrote or deleted the row.
    pub version: u64,
    /// Value; null if the row was deleted.
    pub value: Option<Value>,
}

/// Rows that changed after a revision.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ChangesWire {
    /// Requested revision.
    pub since: u64,
    /// Revision of the last commit.
    pub revision: u64,
    /// Rows that changed between the two revisions.
    pub rows: Vec<StoredRowWire>,
}

/// A conditional write of one row.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WriteWire {
    /// Key of the row.
    pub key: String,
    /// Version that the row must have; 0 if it must not exist.
    pub expect: u64,
    /// New value; null deletes the row.
    pub value: Option<Value>,
}

/// Precondition on a row that a commit depends on but does not write.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CheckWire {
    /// Key of the row.
    pub key: String,
    /// Version that the row must have; 0 if it must not exist.
    pub expect: u64,
}

/// An atomic commit: all of its writes take effect, or none.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CommitWire {
    /// Writes, each with its precondition.
    pub writes: Vec<WriteWire>,
    /// Further preconditions, evaluated after those of the writes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub checks: Vec<CheckWire>,
}

/// Response to a commit: `revision` if it took effect, `lost` if it conflicted.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CommitResponseWire {
    /// Revision that the commit created.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
    /// First row that did not have its expected version; version 0 if it does not exist.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lost: Option<StoredRowWire>,
}

/// A row before and after an edit.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RowChangeWire {
    /// Key of the row.
    pub key: String,
    /// Row before the edit; null if it did not exist.
    pub before: Option<RowWire>,
    /// Row after the edit; null if it was deleted.
    pub after: Option<RowWire>,
}

/// Value of a history row: an accepted edit.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HistoryWire {
    /// Author of the edit.
    pub by: String,
    /// Time of the edit, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Changed rows.
    pub changes: Vec<RowChangeWire>,
}

/// History rows, sorted by version, oldest first.
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

impl ChangesWire {
    /// Converts the rows, and passes the key and the error of each one that cannot be read to
    /// `on_unreadable`. Such a row counts as deleted, so that replicas of the same revision have
    /// the same rows.
    ///
    /// ```
    /// use citron_wire::table::{ChangesWire, StoredRowWire};
    /// let row = |key: &str, value| StoredRowWire {
    ///     key: key.to_string(),
    ///     version: 1,
    ///     value: Some(value),
    /// };
    /// let wire = ChangesWire {
    ///     since: 0,
    ///     revision: 1,
    ///     rows: vec![row("note", "a text".into()), row("server/s-1", "a text".into())],
    /// };
    /// let mut unreadable = Vec::new();
    /// let changes = wire.into_changes(|key, _| unreadable.push(key));
    /// assert_eq!(unreadable, ["note", "server/s-1"]);
    /// assert!(matches!(&changes.rows[..], [(_, _, None)]));
    /// ```
    pub fn into_changes(self, mut on_unreadable: impl FnMut(String, WireError)) -> Changes {
        let mut rows = Vec::with_capacity(self.rows.len());
        for stored in self.rows {
            let key = match parse_row_key(&stored.key) {
                Ok(key) => key,
                Err(error) => {
                    on_unreadable(stored.key, error);
                    continue;
                }
            };
            let row = stored.value.map(decode_row).transpose();
            let row = row.unwrap_or_else(|error| {
                on_unreadable(stored.key, error);
                None
            });
            rows.push((key, Revision(stored.version), row));
        }
        Changes {
            since: Revision(self.since),
            revision: Revision(self.revision),
            rows,
        }
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
