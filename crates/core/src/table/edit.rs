//! Operators' edits: several rows, all or nothing, checked as a whole.

use {
    super::{
        Check, Commit, HistoryRow, Row, RowChange, RowKey, Table, TableError, Versioned, Write,
        edited::EditedTable, initial::initial_blocks, rules,
    },
    crate::id::{Epoch, Revision, ServiceName},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// The most rows in one edit.
pub const MAX_EDIT_ROWS: usize = 1_000;

/// What an operator wants one row to be.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowEdit {
    /// The row.
    pub key: RowKey,
    /// The version the operator saw; 0 to add a row that is not there.
    pub expect: Revision,
    /// The new row; `None` deletes.
    pub row: Option<Row>,
}

/// Rows that an operator changes together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Edit {
    /// Who makes the edit.
    pub author: String,
    /// When, since the Unix epoch.
    pub time: Duration,
    /// The rows, each at most once.
    pub rows: Vec<RowEdit>,
}

/// An edit that passed every rule, ready to be committed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EditPlan {
    /// The rows of the edit, those of the system that follow from it, and the
    /// history row.
    pub commit: Commit,
    /// Rows that a rule rested on and that the commit leaves alone. Without
    /// them, two edits that are each valid could together break a rule, for
    /// example by draining the last two servers of a service at once. The
    /// platform compares their versions with the commit, so the later edit is
    /// planned anew and then refused.
    pub checks: Vec<Check>,
}

impl Edit {
    /// Checks the edit against the table and works out its commit.
    ///
    /// ```
    /// use citron_core::{id::Revision, table::{DomainRow, DomainState, Edit, Row, RowEdit, Table}};
    /// let name = "harbour".parse().unwrap();
    /// let row = Row::Domain(DomainRow { name, state: DomainState::Live, confirmers: Vec::new() });
    /// let rows = vec![RowEdit { key: row.key(), expect: Revision(0), row: Some(row) }];
    /// let edit = Edit { author: "ann".to_string(), time: Default::default(), rows };
    /// let plan = edit.plan(&Table::default()).unwrap();
    /// assert_eq!(plan.commit.writes.len(), 1);
    /// assert_eq!(plan.commit.history.unwrap().author, "ann");
    /// ```
    ///
    /// # Errors
    /// [`TableError::Conflict`] if a row has another version than the operator saw,
    /// [`TableError::Invalid`] if a rule is broken, [`TableError::EditSize`] if there
    /// are no rows or too many.
    pub fn plan(self, table: &Table) -> Result<EditPlan, TableError> {
        self.check_shape(table)?;
        let edited = EditedTable::new(table, &self.rows);
        for edit in &self.rows {
            rules::check(edit, &self.author, &edited)?;
        }
        let checks = edited.checks(&self.rows);
        let mut writes = self.writes();
        writes.extend(derived_writes(&edited, &self.rows));
        let history = Some(self.history(table));
        let commit = Commit { writes, history };
        Ok(EditPlan { commit, checks })
    }

    fn check_shape(&self, table: &Table) -> Result<(), TableError> {
        let found = self.rows.len();
        if !(1..=MAX_EDIT_ROWS).contains(&found) {
            let max = MAX_EDIT_ROWS;
            return Err(TableError::EditSize { found, max });
        }
        let mut seen = BTreeSet::new();
        for edit in &self.rows {
            if !seen.insert(&edit.key) {
                return Err(rules::invalid(&edit.key, "key", "given twice", "once"));
            }
            check_version(edit, table)?;
        }
        Ok(())
    }

    fn writes(&self) -> Vec<Write> {
        let writes = self.rows.iter().map(|edit| Write {
            key: edit.key.clone(),
            expect: edit.expect,
            row: edit.row.clone(),
        });
        writes.collect()
    }

    /// The row before is exact: the commit holds only if it has that version.
    fn history(self, table: &Table) -> HistoryRow {
        let changes = self.rows.into_iter().map(|edit| RowChange {
            before: table.get(&edit.key).map(|row| row.value.clone()),
            key: edit.key,
            after: edit.row,
        });
        HistoryRow {
            author: self.author,
            time: self.time,
            changes: changes.collect(),
        }
    }
}

fn check_version(edit: &RowEdit, table: &Table) -> Result<(), TableError> {
    let current = table.get(&edit.key);
    let version = current.map_or(Revision(0), |row| row.version);
    if version == edit.expect {
        return Ok(());
    }
    Err(TableError::Conflict {
        key: edit.key.clone(),
        current: current.cloned().map(Box::new),
    })
}

/// Rows of the system that follow from an edit: a service that gets its first
/// servers has its shards dealt out, a deleted service takes them with it.
fn derived_writes(edited: &EditedTable<'_>, edits: &[RowEdit]) -> Vec<Write> {
    let mut writes = Vec::new();
    for service in affected_services(edits) {
        let rows = edited.assignment_rows(&service);
        match edited.service(&service) {
            None => writes.extend(delete_writes(rows)),
            Some(row) if rows.is_empty() => {
                // Above every epoch that an earlier service of this name can
                // have used, as each change of owner takes a commit.
                let epoch = Epoch(edited.revision().0 + 1);
                let blocks = initial_blocks(row, &edited.active_servers(&service), epoch);
                writes.extend(
                    blocks
                        .into_iter()
                        .map(|block| insert_write(Row::Block(block))),
                );
            }
            Some(_) => {}
        }
    }
    writes
}

fn affected_services(edits: &[RowEdit]) -> BTreeSet<ServiceName> {
    let names = edits
        .iter()
        .filter_map(|edit| match (&edit.key, &edit.row) {
            (RowKey::Service(name), _) => Some(name.clone()),
            (_, Some(Row::Server(row))) => Some(row.service.clone()),
            _ => None,
        });
    names.collect()
}

fn delete_writes(rows: BTreeMap<&RowKey, &Versioned<Row>>) -> Vec<Write> {
    let writes = rows.into_iter().map(|(key, row)| Write {
        key: key.clone(),
        expect: row.version,
        row: None,
    });
    writes.collect()
}

fn insert_write(row: Row) -> Write {
    Write {
        key: row.key(),
        expect: Revision(0),
        row: Some(row),
    }
}
