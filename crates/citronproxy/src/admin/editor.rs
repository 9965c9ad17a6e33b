//! Commits of operators' edits and moves.

use {
    super::{AdminApi, AdminError, ControlView},
    crate::events,
    citron_core::{
        id::{Revision, ServerName, ServiceName},
        ownership::{Scope, begin_move},
        table::{Check, Commit, CommitOutcome, Edit, HistoryRow, RowChange, RowKey, Table},
    },
    citron_ports::TableStore,
    std::time::{Duration, SystemTime},
};

/// Maximum number of times that an edit is planned. It is planned again when rows change
/// that it does not name.
const MAX_PLAN_ATTEMPTS: u32 = 5;

impl<S: TableStore, C: ControlView> AdminApi<S, C> {
    /// Plans an edit on the current table and commits it.
    ///
    /// # Errors
    /// [`AdminError::Conflict`] with the current row if a row that the edit names has
    /// changed; [`AdminError::OutcomeUnknown`] if the outcome of the commit could not be
    /// determined. With every other error nothing took effect.
    pub async fn edit(&self, edit: Edit) -> Result<Revision, AdminError> {
        for _ in 0..MAX_PLAN_ATTEMPTS {
            self.refresh().await?;
            let plan = self.control.with_table(|table| edit.clone().plan(table))?;
            let committed = self.store.commit_checked(plan.commit, &plan.checks).await;
            match committed.map_err(AdminError::outcome_unknown)? {
                CommitOutcome::Committed(revision) => {
                    return Ok(self.finish_edit(revision, &edit.author));
                }
                CommitOutcome::Conflict { key, current } if names_row(&edit, &key) => {
                    return Err(AdminError::Conflict { key, current });
                }
                // A row that the edit depends on but does not name has changed. Planning
                // the edit again on the current table shows whether it is still valid.
                CommitOutcome::Conflict { .. } => {}
            }
        }
        Err(AdminError::Contention)
    }
}

/// A move requested by an operator.
#[derive(Debug, Clone)]
pub(super) struct MoveRequest {
    pub(super) operator: String,
    pub(super) service: ServiceName,
    pub(super) scope: Scope,
    pub(super) to: ServerName,
}

impl<S: TableStore, C: ControlView> AdminApi<S, C> {
    /// Begins a move, which the control loops complete. Success means that the old owner
    /// is being released, not that the new one owns the scope yet.
    pub(super) async fn request_move(&self, request: &MoveRequest) -> Result<Revision, AdminError> {
        for _ in 0..MAX_PLAN_ATTEMPTS {
            self.refresh().await?;
            let planned = self.control.with_table(|table| plan_move(table, request));
            let (commit, checks) = planned?;
            let committed = self.store.commit_checked(commit, &checks).await;
            if let CommitOutcome::Committed(revision) =
                committed.map_err(AdminError::outcome_unknown)?
            {
                return Ok(self.finish_edit(revision, &request.operator));
            }
        }
        Err(AdminError::Contention)
    }

    fn finish_edit(&self, revision: Revision, operator: &str) -> Revision {
        log::info!("{} {revision} by {operator}", events::EDIT_ACCEPTED);
        self.control.on_edit_accepted();
        revision
    }
}

/// The commit that begins a move, and its check on the row of the new owner.
fn plan_move(table: &Table, request: &MoveRequest) -> Result<(Commit, Vec<Check>), AdminError> {
    let MoveRequest {
        operator,
        service,
        scope,
        to,
    } = request;
    let mut commit = begin_move(table, service, *scope, to)?;
    let changes = commit.writes.iter().map(|write| RowChange {
        key: write.key.clone(),
        before: table.get(&write.key).map(|row| row.value.clone()),
        after: write.row.clone(),
    });
    commit.history = Some(HistoryRow {
        author: operator.clone(),
        time: unix_time(),
        changes: changes.collect(),
    });
    let checks = commit.new_owner_checks(table);
    Ok((commit, checks))
}

fn names_row(edit: &Edit, key: &RowKey) -> bool {
    edit.rows.iter().any(|row| row.key == *key)
}

/// Wall-clock time since the Unix epoch. It only labels history entries; no decision
/// depends on it.
pub(super) fn unix_time() -> Duration {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.unwrap_or_default()
}
