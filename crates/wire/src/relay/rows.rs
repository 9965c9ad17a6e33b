//! Rows of a response, and their selection.

use serde::{Deserialize, Serialize};

/// Selection of the rows of a table that a response holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RowSelection {
    /// All rows of the table.
    All,
    /// Rows that were changed or removed after a version.
    After(u64),
}

impl RowSelection {
    /// Selects the rows to send for a query for the changes after a version. `base` is the
    /// version at which the sender last read all rows; `versions` are the versions of its
    /// rows. Queries that need the same rows yield equal selections, so that the rows are
    /// encoded once.
    ///
    /// ```
    /// use citron_wire::relay::RowSelection;
    /// let versions = [4, 7, 12];
    /// assert_eq!(RowSelection::since(8, 5, versions), RowSelection::After(7));
    /// assert_eq!(RowSelection::since(11, 5, versions), RowSelection::After(7));
    /// assert_eq!(RowSelection::since(4, 5, versions), RowSelection::All);
    /// ```
    pub fn since(after: u64, base: u64, versions: impl IntoIterator<Item = u64>) -> Self {
        if after < base {
            return Self::All;
        }
        let known = versions.into_iter().filter(|version| *version <= after);
        Self::After(known.max().unwrap_or(0))
    }
}

/// A row of a table, or the record of its removal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TableRowWire {
    /// Key of the row.
    pub key: String,
    /// Value; `None` if the row was removed.
    pub value: Option<Vec<u8>>,
    /// Version of the store at which the row was written or removed.
    pub version: u64,
}
