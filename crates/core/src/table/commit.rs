//! Changes to the table that take effect together or not at all.

use {
    super::{Row, RowKey, Table, Versioned},
    crate::id::Revision,
    std::{collections::BTreeSet, time::Duration},
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
    pub author: String,
    /// When, since the Unix epoch, by the clock of the instance that took it.
    pub time: Duration,
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

impl Commit {
    /// The rows of servers that this commit makes owners, or owners to be, as
    /// rows it rests on.
    ///
    /// The failure: a move is decided, its process is paused, an operator deletes
    /// or retires the server that owned nothing yet, and the late commit gives it
    /// shards that then nobody can reach. The version of the server's row has
    /// changed by then, so that the commit is lost and the move decided anew.
    pub fn new_owner_checks(&self, table: &Table) -> Vec<Check> {
        let mut servers = BTreeSet::new();
        for write in &self.writes {
            let before = table.get(&write.key).map(|row| row.value.assignments());
            let before = before.unwrap_or_default();
            let after = write.row.as_ref().map(Row::assignments).unwrap_or_default();
            for (index, assignment) in after.iter().enumerate() {
                if before.get(index) != Some(assignment) {
                    servers.insert(assignment.next_owner());
                }
            }
        }
        let keys = servers.into_iter().cloned().map(RowKey::Server);
        let checks = keys.filter_map(|key| {
            let expect = table.get(&key)?.version;
            Some(Check { key, expect })
        });
        checks.collect()
    }
}

/// What became of a commit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitOutcome {
    /// It took effect, once, as this revision.
    Committed(Revision),
    /// A row had another version; nothing took effect.
    Conflict {
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
