//! Batches of commits to the table.

use {
    citron_core::{
        id::Revision,
        table::{Changes, Commit, RowKey, Table, TableError, Write},
    },
    std::collections::BTreeMap,
};

/// A batch of commits, each planned on the result of the previous ones, that is written
/// as one commit.
///
/// The assignments of several shards share one row (a block). Two moves of shards in one
/// block, committed separately, would conflict with each other repeatedly.
#[derive(Debug)]
pub struct CommitBatch {
    draft: Table,
    writes: BTreeMap<RowKey, Write>,
}

impl CommitBatch {
    /// Creates an empty batch on top of a table.
    pub fn new(table: &Table) -> Self {
        Self {
            draft: table.clone(),
            writes: BTreeMap::new(),
        }
    }

    /// The table with the changes of the batch so far. Its rows keep the versions that
    /// they have in the platform, because the commit is conditional on those. It is a
    /// draft and must not be used as the state of the platform.
    pub fn draft(&self) -> &Table {
        &self.draft
    }

    /// Adds a commit that was planned on [`Self::draft`].
    ///
    /// # Errors
    /// [`TableError`] if the commit does not apply to the draft. The batch must not be
    /// used afterwards.
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

    /// The combined commit; `None` if nothing was added.
    pub fn into_commit(self) -> Option<Commit> {
        let writes: Vec<Write> = self.writes.into_values().collect();
        let history = None;
        (!writes.is_empty()).then_some(Commit { writes, history })
    }
}
