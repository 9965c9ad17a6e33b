//! Several decisions about the table as one commit.

use {
    citron_core::{
        id::Revision,
        table::{Changes, Commit, RowKey, Table, TableError, Write},
    },
    std::collections::BTreeMap,
};

/// Collects commits that are made one upon the other.
///
/// A block is one row: two moves of its shards, each committed by itself, would
/// lose the race against each other again and again.
#[derive(Debug)]
pub struct CommitBatch {
    draft: Table,
    writes: BTreeMap<RowKey, Write>,
}

impl CommitBatch {
    /// An empty batch upon a table.
    pub fn new(table: &Table) -> Self {
        Self {
            draft: table.clone(),
            writes: BTreeMap::new(),
        }
    }

    /// The table with the batch so far; its rows keep the versions they have in
    /// the platform, as those are what the commit is conditional on. It must not
    /// be taken for what the platform holds.
    pub fn draft(&self) -> &Table {
        &self.draft
    }

    /// Adds a commit that was made from [`Self::draft`].
    ///
    /// # Errors
    /// [`TableError`] if it does not fit; the batch is not to be used then.
    pub fn add(&mut self, commit: Commit) -> Result<(), TableError> {
        let rows = commit.writes.iter();
        let rows = rows.map(|write| (write.key.clone(), write.expect, write.row.clone()));
        let since = self.draft.revision();
        let revision = Revision(since.0 + 1);
        let rows = rows.collect();
        self.draft.apply(Changes {
            since,
            revision,
            rows,
        })?;
        for write in commit.writes {
            self.writes.insert(write.key.clone(), write);
        }
        Ok(())
    }

    /// The one commit; `None` if nothing was added.
    pub fn into_commit(self) -> Option<Commit> {
        let writes: Vec<Write> = self.writes.into_values().collect();
        let history = None;
        (!writes.is_empty()).then_some(Commit { writes, history })
    }
}
