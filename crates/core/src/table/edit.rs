//! Operators' edits: atomic changes of several rows, validated as a whole.

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

/// Maximum number of rows in one edit.
pub const MAX_EDIT_ROWS: usize = 1_000;

/// An operator's change to one row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowEdit {
    /// Key of the row.
    pub key: RowKey,
    /// Version that the operator has read; 0 to add a new row.
    pub expect: Revision,
    /// The new row; `None` deletes the row.
    pub row: Option<Row>,
}

/// An atomic edit of rows by an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Edit {
    /// Name of the person or program that makes the edit.
    pub author: String,
    /// Time of the edit since the Unix epoch.
    pub time: Duration,
    /// The changes, at most one for each row.
    pub rows: Vec<RowEdit>,
}

/// A validated edit, ready to be committed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EditPlan {
    /// The rows of the edit, the system rows derived from it, and the audit record.
    pub commit: Commit,
    /// Preconditions on rows that a rule depends on and that the commit does not write.
    /// Without them, two edits that are each valid could together violate a rule, for
    /// example by draining the last two servers of a service concurrently. The platform
    /// checks the versions of these rows with the commit, so the later edit is planned
    /// again and then rejected.
    pub checks: Vec<Check>,
}

impl Edit {
    /// Validates the edit against the table and builds its commit.
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
    /// [`TableError::Conflict`] if a row has another version than the one the operator
    /// has read, [`TableError::Invalid`] if a rule is violated, [`TableError::EditSize`]
    /// if there are no rows or too many.
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

    /// The audit record. Its rows before the edit are exact, because the commit succeeds
    /// only if the rows still have these versions.
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

/// Writes of system rows that an edit implies: the shards of a service are assigned when
/// it gets its first servers, and deleted together with the service.
fn derived_writes(edited: &EditedTable<'_>, edits: &[RowEdit]) -> Vec<Write> {
    let mut writes = Vec::new();
    for service in affected_services(edits) {
        let rows = edited.assignment_rows(&service);
        match edited.service(&service) {
            None => writes.extend(delete_writes(rows)),
            Some(row) if rows.is_empty() => {
                // Higher than every epoch that an earlier service of this name can have
                // used, because each change of owner takes a commit.
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
