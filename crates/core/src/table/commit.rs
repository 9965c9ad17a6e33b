//! Atomic commits to the table.

use {
    super::{Row, RowKey, Table, Versioned},
    crate::id::Revision,
    std::{collections::BTreeSet, time::Duration},
};

/// A conditional write of one row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// Key of the row.
    pub key: RowKey,
    /// Version that the row must have; revision 0 if the row must not exist.
    pub expect: Revision,
    /// The new row; `None` deletes the row.
    pub row: Option<Row>,
}

/// A precondition of a commit: the version of a row that the commit depends on but does
/// not write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Check {
    /// Key of the row.
    pub key: RowKey,
    /// Version that the row must have.
    pub expect: Revision,
}

/// A row before and after an edit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowChange {
    /// Key of the row.
    pub key: RowKey,
    /// The row before the edit; `None` if it did not exist.
    pub before: Option<Row>,
    /// The row after the edit; `None` if the edit deleted it.
    pub after: Option<Row>,
}

/// Audit record of an accepted edit, stored in the commit of the edit and never deleted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HistoryRow {
    /// Name of the person or program that made the edit.
    pub author: String,
    /// Time of the edit since the Unix epoch, by the clock of the instance that accepted
    /// it.
    pub time: Duration,
    /// The rows that the edit changed.
    pub changes: Vec<RowChange>,
}

/// An atomic set of writes. The platform assigns the same new revision to all of them.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Commit {
    /// The writes, at most one for each row.
    pub writes: Vec<Write>,
    /// Audit record, if the commit is an operator's edit.
    pub history: Option<HistoryRow>,
}

impl Commit {
    /// Preconditions on the rows of the backend servers that this commit makes current or
    /// next owners.
    ///
    /// They guard against this failure: a planner decides on a move and is suspended, an
    /// operator deletes or retires the target server, which owns nothing yet, and the
    /// late commit assigns shards to that server, which nobody can reach then. Since the
    /// version of the server's row has changed, the commit fails with a conflict and the
    /// move is planned again.
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

/// Outcome of a commit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitOutcome {
    /// The commit took effect exactly once, as this revision.
    Committed(Revision),
    /// A row had another version than expected; nothing was written.
    Conflict {
        /// Key of the first such row.
        key: RowKey,
        /// The current row; `None` if it does not exist.
        current: Option<Box<Versioned<Row>>>,
    },
}

/// Rows that changed after a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// The revision after which the changes start.
    pub since: Revision,
    /// The revision of a replica that has applied the changes.
    pub revision: Revision,
    /// The rows with the revision that wrote them; `None` stands for a deleted row.
    pub rows: Vec<(RowKey, Revision, Option<Row>)>,
}
