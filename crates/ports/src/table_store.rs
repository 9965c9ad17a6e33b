//! The transactional table of services, servers, instances and shard owners.

use {
    crate::{DecodeError, PlatformError},
    citron_core::{
        id::Revision,
        table::{Changes, Check, Commit, CommitOutcome, HistoryRow, Versioned},
    },
    std::future::Future,
};

/// An accepted edit and the revision that it created.
pub type HistoryEntry = Versioned<HistoryRow>;

/// Response to a read of the table.
#[derive(Debug)]
pub struct TableRead {
    /// The rows that changed.
    pub changes: Changes,
    /// Errors of rows that another program has written. Those under a key of the table count
    /// as deleted.
    pub unreadable: Vec<DecodeError>,
}

/// Response to a read of the history.
#[derive(Debug)]
pub struct HistoryRead {
    /// Accepted edits, oldest first.
    pub entries: Vec<HistoryEntry>,
    /// Errors of rows that another program has written.
    pub unreadable: Vec<DecodeError>,
}

/// Transactional access to the platform's table. A read sees every commit whose response
/// was sent before the read began.
pub trait TableStore {
    /// Reads the rows that changed after `since`.
    fn changes(&self, since: Revision) -> impl Future<Output = Result<TableRead, PlatformError>>;

    /// Commits exactly once. If a response is lost, the outcome is determined before this
    /// returns.
    ///
    /// # Errors
    /// [`PlatformError::OutcomeUnknown`] if the outcome could not be determined.
    fn commit(&self, commit: Commit) -> impl Future<Output = Result<CommitOutcome, PlatformError>> {
        self.commit_checked(commit, &[])
    }

    /// Commits as [`Self::commit`] does, if rows that the commit depends on but does not
    /// write have their expected versions.
    fn commit_checked(
        &self,
        commit: Commit,
        checks: &[Check],
    ) -> impl Future<Output = Result<CommitOutcome, PlatformError>>;

    /// Reads at most `limit` accepted edits after a revision, oldest first.
    fn history(
        &self,
        after: Revision,
        limit: usize,
    ) -> impl Future<Output = Result<HistoryRead, PlatformError>>;
}
