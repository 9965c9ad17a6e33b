//! Commits operators' edits.

use {
    super::{Admin, AdminError},
    citron_core::{
        id::Revision,
        table::{CommitAnswer, Edit, RowKey},
    },
    citron_platform::TableStore,
    std::time::{Duration, SystemTime},
};

/// How often an edit is planned anew because rows that it does not name changed.
const PLANS: u32 = 5;

impl<S: TableStore> Admin<S> {
    /// Takes an edit: plans it against the table as it is and commits it.
    ///
    /// # Errors
    /// [`AdminError::Lost`] with the current row if one that the edit names has
    /// changed, [`AdminError::Unknown`] if the commit could not be settled; with
    /// every other error nothing took effect.
    pub async fn edit(&self, edit: Edit) -> Result<Revision, AdminError> {
        for _ in 0..PLANS {
            self.refresh().await?;
            let plan = edit.clone().plan(&self.table())?;
            let committed = self.store.commit_checked(plan.commit, &plan.checks).await;
            match committed.map_err(AdminError::unsettled)? {
                CommitAnswer::Done(revision) => return Ok(revision),
                CommitAnswer::Lost { key, current } if names(&edit, &key) => {
                    return Err(AdminError::Lost { key, current });
                }
                // A row that the edit rests on: whether it is still valid shows
                // when it is planned against the table as it is now.
                CommitAnswer::Lost { .. } => {}
            }
        }
        Err(AdminError::Busy)
    }
}

fn names(edit: &Edit, key: &RowKey) -> bool {
    edit.rows.iter().any(|row| row.key == *key)
}

/// The wall clock, for the history's eyes only: no decision rests on it.
pub(super) fn wall_clock() -> Duration {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.unwrap_or_default()
}
