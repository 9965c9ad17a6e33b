//! Errors of the table aggregate.

use {super::RowKey, crate::id::Revision, thiserror::Error};

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
}
