//! Replica of a table.

use {
    citron_core::id::StoreVersion,
    citron_ports::{Row, RowSet},
    citron_wire::relay::{Digest, RowSelection, TableRowWire},
    std::{
        cell::Cell,
        collections::{BTreeMap, BTreeSet},
    },
};

/// Rows of a table as of a version, which never decreases. Removed rows are kept as
/// tombstones, so that changes can be passed on to other instances.
#[derive(Debug, Default)]
pub struct TableReplica {
    /// Version from which reads of changes continue; [`StoreVersion::NONE`] before the first
    /// read.
    pub version: StoreVersion,
    /// Version of the newest known change. Instances compare it to find out which of them
    /// is behind.
    pub newest_change: StoreVersion,
    /// Version of the last read of all rows. A row removed before it may have left no
    /// tombstone here.
    snapshot_version: StoreVersion,
    /// Number of times that rows have changed here.
    pub edit_count: u64,
    /// Digest of the rows, and the value of `edit_count` for which it was computed.
    cached_digest: Cell<Option<(u64, Digest)>>,
    rows: BTreeMap<String, Row>,
}

impl TableReplica {
    /// Whether the table has been read.
    pub fn is_read(&self) -> bool {
        self.version > StoreVersion::NONE
    }

    /// Applies changed rows, and returns those that are newer than the known ones.
    /// Returns none if `row_set` is older than the replica. `newest_change` is the
    /// version of the newest change in the table.
    pub fn apply(&mut self, row_set: RowSet, newest_change: StoreVersion) -> Vec<Row> {
        if row_set.version < self.version {
            return Vec::new();
        }
        self.version = row_set.version;
        self.newest_change = self.newest_change.max(newest_change);
        let known_version = |row: &Row| {
            self.rows
                .get(&row.key)
                .map_or(StoreVersion::NONE, |old| old.version)
        };
        let newer = row_set
            .rows
            .into_iter()
            .filter(|row| row.version > known_version(row));
        let newer: Vec<Row> = newer.collect();
        self.edit_count += u64::from(!newer.is_empty());
        for row in &newer {
            self.newest_change = self.newest_change.max(row.version);
            self.rows.insert(row.key.clone(), row.clone());
        }
        newer
    }

    /// Replaces all rows by a newer read, and returns the changed ones, including those
    /// that were removed.
    pub fn replace(&mut self, mut row_set: RowSet, newest_change: StoreVersion) -> Vec<Row> {
        if row_set.version < self.version {
            return Vec::new();
        }
        self.snapshot_version = row_set.version;
        let listed: BTreeSet<&str> = row_set.rows.iter().map(|row| row.key.as_str()).collect();
        let live = self.rows.values().filter(|row| row.value.is_some());
        let removed = live.filter(|row| !listed.contains(row.key.as_str()));
        let removed = removed.map(|row| Row {
            key: row.key.clone(),
            value: None,
            version: row_set.version,
        });
        let removed: Vec<Row> = removed.collect();
        row_set.rows.extend(removed);
        self.apply(row_set, newest_change)
    }

    /// Keys of the rows of the table.
    pub fn live_keys(&self) -> impl Iterator<Item = &str> {
        let live = self.rows.values().filter(|row| row.value.is_some());
        live.map(|row| row.key.as_str())
    }

    /// Version of a row; [`StoreVersion::NONE`] if there is none.
    pub fn live_version(&self, key: &str) -> StoreVersion {
        let row = self.rows.get(key).filter(|row| row.value.is_some());
        row.map_or(StoreVersion::NONE, |row| row.version)
    }

    /// Whether the row is known to have been removed.
    pub fn is_removed(&self, key: &str) -> bool {
        self.rows.get(key).is_some_and(|row| row.value.is_none())
    }

    /// Which rows to send to an instance that asks for the changes after a version and
    /// whose rows have the given digest. After a read of all rows, the version of the
    /// read stands for that of the newest change. Instances that have read the table at
    /// different versions therefore ask each other, although most of them have the same
    /// rows; the digest reveals that.
    pub fn part_since(&self, after: u64, digest: Option<Digest>) -> RowSelection {
        let versions = self.rows.values().map(|row| row.version.0);
        match RowSelection::since(after, self.snapshot_version.0, versions) {
            RowSelection::All if digest == Some(self.digest()) => {
                RowSelection::After(self.newest_change.0)
            }
            part => part,
        }
    }

    /// Digest of the rows, which differs between replicas with different rows.
    pub fn digest(&self) -> Digest {
        if let Some((edit_count, digest)) = self.cached_digest.get()
            && edit_count == self.edit_count
        {
            return digest;
        }
        let live = self.rows.values().filter(|row| row.value.is_some());
        let digest = Digest::from_rows(live.map(|row| (row.key.as_str(), row.version.0)));
        self.cached_digest.set(Some((self.edit_count, digest)));
        digest
    }

    /// Rows of a part, in the order of their keys.
    pub fn rows_in(&self, part: RowSelection) -> Vec<TableRowWire> {
        let is_in = |row: &&Row| match part {
            RowSelection::All => row.value.is_some(),
            RowSelection::After(version) => row.version.0 > version,
        };
        let rows = self.rows.values().filter(is_in);
        rows.map(TableRowWire::from).collect()
    }
}
