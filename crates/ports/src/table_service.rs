//! The platform's table service, call by call.

use {
    crate::PlatformError,
    citron_wire::table::{ChangesWire, CommitResponseWire, CommitWire, LogWire, StoredRowWire},
    std::future::Future,
};

/// Client of the platform's table service. A commit that fails with an error may have taken
/// effect.
pub trait TableService {
    /// Reads the rows that changed after a revision, without the history and the writers'
    /// sequence rows.
    fn changes(&self, since: u64) -> impl Future<Output = Result<ChangesWire, PlatformError>>;

    /// Writes all rows if each has its expected version, else none.
    fn commit(
        &self,
        commit: &CommitWire,
    ) -> impl Future<Output = Result<CommitResponseWire, PlatformError>>;

    /// Reads one row; `None` if it does not exist.
    fn row(&self, key: &str) -> impl Future<Output = Result<Option<StoredRowWire>, PlatformError>>;

    /// Reads at most `limit` history rows after a revision, oldest first.
    fn log(&self, after: u64, limit: usize)
    -> impl Future<Output = Result<LogWire, PlatformError>>;
}
