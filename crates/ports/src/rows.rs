//! Interface to a store of versioned rows that reports changes.

use {
    crate::ReadTimeout,
    citron_core::{id::StoreVersion, time::StoreTime},
    citron_wire::relay::{TableRowWire, TableWire},
    std::{collections::BTreeSet, future::Future, time::Duration},
    thiserror::Error,
};

/// Tables that an instance reads. The adapter maps them to the store's table names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RowTable {
    /// Configuration written by operators.
    Config,
    /// Entries that backend servers write about themselves.
    Servers,
    /// Owners of key ranges, and the current planner.
    Ranges,
    /// Addresses of the instances.
    Members,
}

/// A row of a table, or the record of its removal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Key of the row within the table.
    pub key: String,
    /// Value; `None` if the row was removed.
    pub value: Option<Vec<u8>>,
    /// Version of the store at which the row was written or removed.
    pub version: StoreVersion,
}

/// Rows of a table as of one version of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowSet {
    /// The rows.
    pub rows: Vec<Row>,
    /// Version of the store.
    pub version: StoreVersion,
    /// Clock of the store when it responded; `None` if the rows come from another instance.
    pub store_time: Option<StoreTime>,
}

impl RowSet {
    /// Applies the changes that follow the version of this set, and takes their version. Rows
    /// that were removed are dropped.
    ///
    /// ```
    /// use citron_core::id::StoreVersion;
    /// use citron_ports::{Row, RowSet};
    /// let version = |number| StoreVersion::new(Default::default(), number).unwrap();
    /// let set = |key: &str, value: Option<&[u8]>, number| RowSet {
    ///     rows: vec![Row {
    ///         key: key.to_string(),
    ///         value: value.map(<[u8]>::to_vec),
    ///         version: version(number),
    ///     }],
    ///     version: version(number),
    ///     store_time: None,
    /// };
    /// let mut rows = set("a", Some(b"old"), 1);
    /// rows.merge(set("a", Some(b"new"), 2));
    /// assert_eq!(rows, set("a", Some(b"new"), 2));
    /// rows.merge(set("a", None, 3));
    /// assert!(rows.rows.is_empty());
    /// ```
    pub fn merge(&mut self, changes: Self) {
        let changed: BTreeSet<&str> = changes.rows.iter().map(|row| row.key.as_str()).collect();
        self.rows.retain(|row| !changed.contains(row.key.as_str()));
        let live = changes.rows.into_iter().filter(|row| row.value.is_some());
        self.rows.extend(live);
        self.version = changes.version;
        self.store_time = changes.store_time.or(self.store_time);
    }
}

impl From<&Row> for TableRowWire {
    fn from(row: &Row) -> Self {
        Self {
            key: row.key.clone(),
            value: row.value.clone(),
            version: row.version.0,
        }
    }
}

impl From<TableWire> for RowSet {
    fn from(wire: TableWire) -> Self {
        let rows = wire.rows.into_iter().map(|row| Row {
            key: row.key,
            value: row.value,
            version: StoreVersion(row.version),
        });
        Self {
            rows: rows.collect(),
            version: StoreVersion(wire.head.version),
            store_time: None,
        }
    }
}

/// An atomic commit: all of its writes take effect, or none.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RowCommit {
    /// Preconditions: rows and the versions that they must have; 0 if a row must not exist.
    pub expected: Vec<(RowTable, String, StoreVersion)>,
    /// Rows to write, with their values.
    pub writes: Vec<(RowTable, String, Vec<u8>)>,
    /// Rows to remove.
    pub removes: Vec<(RowTable, String)>,
}

/// Error of a call to the store.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The store rejected the call, or the call was not sent; it has no effect.
    #[error("the store rejected the call: {0}")]
    Refused(String),
    /// More calls are queued than the store serves in a second; the call has no effect.
    #[error("the store is throttling calls")]
    Throttled,
    /// The store does not support such a call; the call has no effect.
    #[error("the store does not accept the call: {0}")]
    Invalid(String),
    /// The call may have taken effect, or may still do so.
    #[error("no response from the store: {0}")]
    OutcomeUnknown(String),
    /// The store does not have the changes since the requested version: they are too old, or
    /// the store came back from a copy. All rows must be read again.
    #[error("the store does not have the changes since the requested version")]
    Compacted,
    /// The response is longer than a client accepts. All rows can still be read: they come in
    /// pages.
    #[error("no usable response from the store: {0}")]
    TooLong(String),
    /// A row does not have its expected version; the call has no effect.
    #[error("a row does not have its expected version")]
    Conflict,
    /// The response is malformed.
    #[error("malformed response from the store: {0}")]
    InvalidResponse(String),
}

impl StoreError {
    /// Whether the store responded to a read of changes, but cannot tell them: all rows must be
    /// read in their place.
    ///
    /// ```
    /// use citron_ports::StoreError;
    /// assert!(StoreError::Compacted.requires_full_read());
    /// assert!(!StoreError::Throttled.requires_full_read());
    /// ```
    pub fn requires_full_read(&self) -> bool {
        matches!(self, Self::Compacted | Self::TooLong(_))
    }
}

/// Client of a store of versioned rows.
pub trait RowStore: Clone + 'static {
    /// Reads all rows of a table as of one version. The call fails when `limit` expires.
    ///
    /// # Errors
    /// [`StoreError`], also if the rows could not be read as of one version.
    fn rows(
        &self,
        table: RowTable,
        limit: &mut impl ReadTimeout,
    ) -> impl Future<Output = Result<RowSet, StoreError>>;

    /// Long-polls for changes after a version. Returns as soon as there are any, and no
    /// rows if there are none within `wait`. The call fails when `limit` expires.
    ///
    /// # Errors
    /// [`StoreError::Compacted`] if the store does not have these changes, or has begun a new
    /// era since; [`StoreError::TooLong`] if there are too many for a response.
    fn changes(
        &self,
        table: RowTable,
        after: StoreVersion,
        wait: Duration,
        limit: &mut impl ReadTimeout,
    ) -> impl Future<Output = Result<RowSet, StoreError>>;

    /// Applies a commit and returns the new version of the store.
    ///
    /// # Errors
    /// [`StoreError::Conflict`] if a precondition does not hold;
    /// [`StoreError::OutcomeUnknown`] if the commit may have taken effect.
    fn commit(&self, commit: &RowCommit) -> impl Future<Output = Result<StoreVersion, StoreError>>;
}
