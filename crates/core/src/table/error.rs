//! Errors of the table aggregate.

use {
    super::{Row, RowKey, Versioned},
    crate::id::Revision,
    thiserror::Error,
};

/// Why the table refuses rows.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum TableError {
    /// Changes that start after the revision this copy has reached.
    #[error("changes start after revision {found}, this copy is at {have}")]
    Gap {
        /// The revision this copy has reached.
        have: Revision,
        /// The revision that the changes start after.
        found: Revision,
    },
    /// A row that breaks a rule; nothing was changed.
    #[error("row {key}: {field} is {found}; allowed: {allowed}")]
    Invalid {
        /// The row at fault.
        key: RowKey,
        /// The field at fault.
        field: String,
        /// What the field holds.
        found: String,
        /// What it may hold.
        allowed: String,
    },
    /// A row has another version than the one that the edit names.
    #[error("row {key} has changed since")]
    Conflict {
        /// The row.
        key: RowKey,
        /// What it is now; `None` if it is not there.
        current: Option<Box<Versioned<Row>>>,
    },
    /// An edit without rows or with too many.
    #[error("{found} rows in one edit; allowed: 1 to {max}")]
    EditSize {
        /// How many rows.
        found: usize,
        /// How many are allowed.
        max: usize,
    },
}
