//! Changes to the table that take effect together or not at all.

use {
    super::{Row, RowKey, Versioned},
    crate::id::Revision,
    std::time::Duration,
};

/// One row of a commit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// The row.
    pub key: RowKey,
    /// The version it must have; revision 0 if it must not exist.
    pub expect: Revision,
    /// The new row; `None` deletes.
    pub row: Option<Row>,
}

/// A row that a commit leaves alone but rests on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Check {
    /// The row.
    pub key: RowKey,
    /// The version it must have.
    pub expect: Revision,
}

/// A row before and after an edit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowChange {
    /// The row.
    pub key: RowKey,
    /// What it was.
    pub before: Option<Row>,
    /// What it became.
    pub after: Option<Row>,
}

/// An accepted edit, kept for good; stored in the commit that it tells of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HistoryRow {
    /// Who made the edit.
    pub by: String,
    /// When, since the Unix epoch, by the clock of the instance that took it.
    pub at: Duration,
    /// What changed.
    pub changes: Vec<RowChange>,
}

/// Writes that take effect together or not at all. The platform gives all of
/// them the same new revision.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Commit {
    /// The rows, each at most once.
    pub writes: Vec<Write>,
    /// The record of an operator's edit.
    pub history: Option<HistoryRow>,
}

/// What became of a commit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitAnswer {
    /// It took effect, once, as this revision.
    Done(Revision),
    /// A row had another version; nothing took effect.
    Lost {
        /// The first such row.
        key: RowKey,
        /// What the row is now.
        current: Option<Box<Versioned<Row>>>,
    },
}

/// Rows that changed after a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// The revision that was asked for.
    pub since: Revision,
    /// The revision that the rows bring a copy up to.
    pub revision: Revision,
    /// The rows, with the revision that wrote them; `None` for a deleted one.
    pub rows: Vec<(RowKey, Revision, Option<Row>)>,
}
