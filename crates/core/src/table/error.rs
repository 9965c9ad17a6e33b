//! Errors of the table.

use {
    super::{Row, RowKey, Versioned},
    crate::id::Revision,
    thiserror::Error,
};

/// Reason why the table rejects changes or an edit.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum TableError {
    /// Changes that start after the replica's revision.
    #[error("changes start after revision {found}, but the replica is at revision {have}")]
    Gap {
        /// The replica's revision.
        have: Revision,
        /// The revision after which the changes start.
        found: Revision,
    },
    /// A row that violates a rule; nothing was changed.
    #[error("row {key}: {field} is {found}; allowed: {allowed}")]
    Invalid {
        /// Key of the invalid row.
        key: RowKey,
        /// Name of the invalid field, as in the operators' settings.
        field: String,
        /// The field's value, or what is wrong with it.
        found: String,
        /// The values that are allowed.
        allowed: String,
    },
    /// A row whose version is not the one that the edit expects.
    #[error("row {key} has changed since it was read")]
    Conflict {
        /// Key of the row.
        key: RowKey,
        /// The current row; `None` if it does not exist.
        current: Option<Box<Versioned<Row>>>,
    },
    /// An edit without rows or with too many rows.
    #[error("{found} rows in one edit; allowed: 1 to {max}")]
    EditSize {
        /// Number of rows in the edit.
        found: usize,
        /// Maximum number of rows allowed.
        max: usize,
    },
}
