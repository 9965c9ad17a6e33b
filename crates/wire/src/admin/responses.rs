//! Response bodies of the admin API.

use {
    crate::{
        row::RowWire,
        table::{HistoryWire, RowChangeWire},
    },
    citron_core::{
        id::Revision,
        table::{HistoryRow, Row, RowKey, Versioned},
    },
    serde::{Deserialize, Serialize},
};

/// A row of the table with its key and version.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct VersionedRowWire {
    /// Key of the row, `kind/name`.
    pub key: String,
    /// Version of the row, which an edit of the row must name.
    pub version: u64,
    /// The row.
    pub row: RowWire,
}

impl From<(&RowKey, &Versioned<Row>)> for VersionedRowWire {
    fn from((key, row): (&RowKey, &Versioned<Row>)) -> Self {
        Self {
            key: key.to_string(),
            version: row.version.0,
            row: RowWire::from(&row.value),
        }
    }
}

/// Response to an accepted edit.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RevisionWire {
    /// Revision that the edit created.
    pub revision: u64,
}

/// Response to a rejected or failed call.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ErrorWire {
    /// Error code for programs; one of a fixed set.
    pub code: String,
    /// Error message for operators.
    pub message: String,
    /// Key of the row that caused the error.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// On a version conflict, the current row; absent if the row does not exist.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current: Option<VersionedRowWire>,
}

/// An accepted edit in the history.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HistoryEntryWire {
    /// Revision that the edit created.
    pub revision: u64,
    /// Author of the edit.
    pub by: String,
    /// Time of the edit, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Changed rows.
    pub changes: Vec<RowChangeWire>,
}

impl From<&Versioned<HistoryRow>> for HistoryEntryWire {
    fn from(core: &Versioned<HistoryRow>) -> Self {
        let Versioned {
            version: Revision(revision),
            value,
        } = core;
        let HistoryWire { by, at_ms, changes } = value.into();
        Self {
            revision: *revision,
            by,
            at_ms,
            changes,
        }
    }
}

/// One page of the history of accepted edits, oldest first.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HistoryPageWire {
    /// The edits.
    pub entries: Vec<HistoryEntryWire>,
}
