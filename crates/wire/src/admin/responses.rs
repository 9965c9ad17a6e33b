//! What operators get back.

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

/// A row with its key and version.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct VersionedRowWire {
    /// The row's key, `kind/name`.
    pub key: String,
    /// The version that an edit has to name.
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

/// An accepted edit's revision.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RevisionWire {
    /// The revision.
    pub revision: u64,
}

/// Why a call was refused.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ErrorWire {
    /// A fixed word for machines.
    pub code: String,
    /// A sentence for people.
    pub message: String,
    /// The row at fault.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// After a lost race: the row as it is now; missing if it is not there.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current: Option<VersionedRowWire>,
}

/// An accepted edit.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HistoryEntryWire {
    /// The revision that it made.
    pub revision: u64,
    /// Who made it.
    pub by: String,
    /// When, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// What changed.
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

/// Accepted edits, oldest first.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HistoryPageWire {
    /// The edits.
    pub entries: Vec<HistoryEntryWire>,
}
