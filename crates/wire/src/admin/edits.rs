//! Request bodies of the admin API.

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

/// Edit of one row.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RowEditWire {
    /// Key of the row, `kind/name`.
    pub key: String,
    /// Version that the row must have; 0 adds a row that does not exist yet.
    pub version: u64,
    /// New row; null deletes it.
    pub row: Option<RowWire>,
}

/// An atomic edit: all of its rows change, or none.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EditWire {
    /// Edits of the rows.
    pub rows: Vec<RowEditWire>,
}

/// Request to move a shard, or a single key of a shard, to another backend server.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MoveWire {
    /// Name of the service.
    pub service: String,
    /// Number of the shard, if a shard is moved.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shard: Option<u32>,
    /// Key as requests carry it, if a single key is moved.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// Name of the server that becomes the owner.
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
