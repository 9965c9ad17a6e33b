//! The calls of the platform's table service, as it offers them.

use {
    crate::PlatformError,
    citron_wire::table::{ChangesWire, CommitResponseWire, CommitWire, LogWire, StoredRowWire},
    std::future::Future,
};

/// The table service. An error of `commit` leaves open whether it took effect.
pub trait TableService {
    /// Rows outside the history that changed after a revision.
    fn changes(&self, since: u64) -> impl Future<Output = Result<ChangesWire, PlatformError>>;

    /// Writes all rows if each has the version it is expected to have.
    fn commit(
        &self,
        commit: &CommitWire,
    ) -> impl Future<Output = Result<CommitResponseWire, PlatformError>>;

    /// One row; `None` if it is not there.
    fn row(&self, key: &str) -> impl Future<Output = Result<Option<StoredRowWire>, PlatformError>>;

    /// History rows after a revision, oldest first.
    fn log(&self, after: u64, limit: usize)
    -> impl Future<Output = Result<LogWire, PlatformError>>;
}
