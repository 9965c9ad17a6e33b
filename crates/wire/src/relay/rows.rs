//! Rows of an answer.

use serde::{Deserialize, Serialize};

/// Which rows of a table an answer holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RowSelection {
    /// All there are.
    All,
    /// Those changed or removed after a version.
    After(u64),
}

impl RowSelection {
    /// What an instance that asks for the changes after a version needs, if the sender
    /// read all rows at version `base` and holds rows of these versions. The same for all
    /// who need the same rows, so that these are packed once.
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

/// A row, or the news that it is gone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TableRowWire {
    /// Its key.
    pub key: String,
    /// Nothing if the row was removed.
    pub value: Option<Vec<u8>>,
    /// The version that wrote or removed it.
    pub version: u64,
}
