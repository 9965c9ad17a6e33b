//! What operators send.

use {
    crate::{
        WireError,
        error::invalid_value,
        row::{RowWire, parse_row_key},
    },
    citron_core::{
        id::Revision,
        table::{Row, RowEdit},
    },
    serde::{Deserialize, Serialize},
};

/// What one row is to be.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RowEditWire {
    /// The row's key, `kind/name`.
    pub key: String,
    /// The version that was seen; 0 adds.
    pub version: u64,
    /// The new row; null deletes.
    pub row: Option<RowWire>,
}

/// Rows that change together or not at all.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EditWire {
    /// The rows.
    pub rows: Vec<RowEditWire>,
}

/// A move of one shard, or of one key out of its shard, to a server.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MoveWire {
    /// The service.
    pub service: String,
    /// The shard's number.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shard: Option<u32>,
    /// The key, as requests carry it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// The server that is to own it.
    pub to: String,
}

impl From<&RowEdit> for RowEditWire {
    fn from(core: &RowEdit) -> Self {
        Self {
            key: core.key.to_string(),
            version: core.expect.0,
            row: core.row.as_ref().map(RowWire::from),
        }
    }
}

impl TryFrom<RowEditWire> for RowEdit {
    type Error = WireError;

    fn try_from(wire: RowEditWire) -> Result<Self, WireError> {
        if wire.row.is_none() && wire.version == 0 {
            return Err(invalid_value(
                "version",
                0,
                "the version of the row to delete",
            ));
        }
        Ok(Self {
            key: parse_row_key(&wire.key)?,
            expect: Revision(wire.version),
            row: wire.row.map(Row::try_from).transpose()?,
        })
    }
}
