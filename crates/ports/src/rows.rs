//! Rows of a store that keeps them under versions and tells what has changed.

use {
    crate::ReadTimeout,
    citron_core::time::StoreTime,
    citron_wire::relay::{TableRowWire, TableWire},
    std::{future::Future, time::Duration},
    thiserror::Error,
};

/// Tables that an instance reads. How they are called outside is the adapter's
/// matter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RowTable {
    /// The operators' configuration.
    Config,
    /// What backend servers write of themselves.
    Servers,
    /// Which server owns which keys, and which instance is the planner.
    Ranges,
    /// Where instances reach each other.
    Members,
}

/// A row, or the news that it is gone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Its key within the table.
    pub key: String,
    /// Its value; `None` if it was removed.
    pub value: Option<Vec<u8>>,
    /// The version that wrote or removed it.
    pub version: u64,
}

/// Rows as of one version of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowSet {
    /// The rows.
    pub rows: Vec<Row>,
    /// The store's version then.
    pub version: u64,
    /// The store's clock then; `None` if another instance handed the rows on.
    pub store_time: Option<StoreTime>,
}

impl From<&Row> for TableRowWire {
    fn from(row: &Row) -> Self {
        Self {
            key: row.key.clone(),
            value: row.value.clone(),
            version: row.version,
        }
    }
}

impl From<TableWire> for RowSet {
    fn from(wire: TableWire) -> Self {
        let rows = wire.rows.into_iter().map(|row| Row {
            key: row.key,
            value: row.value,
            version: row.version,
        });
        Self {
            rows: rows.collect(),
            version: wire.head.version,
            store_time: None,
        }
    }
}

/// Writes that take effect together, or not at all.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RowCommit {
    /// Rows that must have these versions; 0 for none.
    pub expected: Vec<(RowTable, String, u64)>,
    /// Rows to write.
    pub writes: Vec<(RowTable, String, Vec<u8>)>,
    /// Rows to remove.
    pub removes: Vec<(RowTable, String)>,
}

/// Why a call to the store gave nothing.
#[derive(Debug, Error)]
pub enum StoreError {
    /// It was refused, and nothing was done.
    #[error("the store refused the call: {0}")]
    Refused(String),
    /// More calls are waiting than the store answers in a second, and nothing was done.
    #[error("the store is throttling calls")]
    Throttled,
    /// The store does not take such a call, and nothing was done.
    #[error("the store does not accept the call: {0}")]
    Invalid(String),
    /// It may have been done, or may be done later.
    #[error("no answer from the store: {0}")]
    OutcomeUnknown(String),
    /// The history since the asked version is gone; all rows must be read.
    #[error("the store has forgotten what has changed since")]
    Compacted,
    /// A row has another version than expected, and nothing was done.
    #[error("a row has changed meanwhile")]
    Conflict,
    /// The answer could not be read.
    #[error("the store's answer cannot be read: {0}")]
    InvalidResponse(String),
}

/// The store.
pub trait RowStore: Clone + 'static {
    /// All rows of a table, as of one moment, until `limit` is over.
    ///
    /// # Errors
    /// [`StoreError`]; also if they could not be read in one piece.
    fn rows(
        &self,
        table: RowTable,
        limit: &mut impl ReadTimeout,
    ) -> impl Future<Output = Result<RowSet, StoreError>>;

    /// What has changed after a version, as soon as there is anything, or nothing
    /// when `wait` is over, until `limit` is over.
    ///
    /// # Errors
    /// [`StoreError::Compacted`] if the store no longer knows.
    fn changes(
        &self,
        table: RowTable,
        after: u64,
        wait: Duration,
        limit: &mut impl ReadTimeout,
    ) -> impl Future<Output = Result<RowSet, StoreError>>;

    /// Writes; the new version.
    ///
    /// # Errors
    /// [`StoreError::Conflict`] if a row is not as expected;
    /// [`StoreError::OutcomeUnknown`] if it may have been done.
    fn commit(&self, commit: &RowCommit) -> impl Future<Output = Result<u64, StoreError>>;
}
