//! The transactional table.

use {
    crate::PlatformError,
    citron_core::{
        id::Revision,
        table::{Changes, Check, Commit, CommitOutcome, HistoryRow, Versioned},
    },
    std::future::Future,
};

/// An accepted edit with the revision that it made.
pub type HistoryEntry = Versioned<HistoryRow>;

/// The platform's table. Reads see every commit that was answered before they
/// began.
pub trait TableStore {
    /// Rows that changed after `since`.
    fn changes(&self, since: Revision) -> impl Future<Output = Result<Changes, PlatformError>>;

    /// Commits once: a lost answer is settled by reading back before this
    /// returns.
    fn commit(&self, commit: Commit) -> impl Future<Output = Result<CommitOutcome, PlatformError>> {
        self.commit_checked(commit, &[])
    }

    /// As [`Self::commit`], provided that rows it leaves alone have the versions
    /// that it rests on.
    fn commit_checked(
        &self,
        commit: Commit,
        checks: &[Check],
    ) -> impl Future<Output = Result<CommitOutcome, PlatformError>>;

    /// Accepted edits after a revision, oldest first, at most `limit`.
    fn history(
        &self,
        after: Revision,
        limit: usize,
    ) -> impl Future<Output = Result<Vec<HistoryEntry>, PlatformError>>;
}
