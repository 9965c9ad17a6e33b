//! This instance's copy of a table.

use {
    citron_ports::{Row, RowSet},
    citron_wire::relay::{Digest, Part, TableRowWire},
    std::{
        cell::Cell,
        collections::{BTreeMap, BTreeSet},
    },
};

/// Rows of a table as of a version; never goes back. Rows that were removed stay
/// as such, so that what has changed can be told to others.
#[derive(Debug, Default)]
pub struct TableReplica {
    /// The version that questions go on from; 0 before the first read.
    pub version: u64,
    /// The version of the newest change known: instances compare it.
    pub newest_change: u64,
    /// The version of the last reading of all rows: a row that was removed before
    /// it may have left no trace here.
    snapshot_version: u64,
    /// How often rows have changed here.
    pub edit_count: u64,
    /// The digest, and the edits as of which it was worked out.
    cached_digest: Cell<Option<(u64, Digest)>>,
    rows: BTreeMap<String, Row>,
}

impl TableReplica {
    /// Takes in what changed, the newest change being `newest`; the changed rows,
    /// or none if the set is old.
    pub fn apply(&mut self, row_set: RowSet, newest_change: u64) -> Vec<Row> {
        if row_set.version < self.version {
            return Vec::new();
        }
        self.version = row_set.version;
        self.newest_change = self.newest_change.max(newest_change);
        let known_version = |row: &Row| self.rows.get(&row.key).map_or(0, |old| old.version);
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

    /// Replaces all rows by a newer reading, the newest change being `newest`; the
    /// changed rows, the removed ones among them.
    pub fn replace(&mut self, mut row_set: RowSet, newest_change: u64) -> Vec<Row> {
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

    /// What to hand to an instance that asks for the changes after a version and has
    /// rows of this digest. The version of a reading of all rows is the newest change for
    /// what is known, so that others ask, of whom most have the same rows.
    pub fn part_since(&self, after: u64, digest: Option<Digest>) -> Part {
        let versions = self.rows.values().map(|row| row.version);
        match Part::since(after, self.snapshot_version, versions) {
            Part::Whole if digest == Some(self.digest()) => Part::After(self.newest_change),
            part => part,
        }
    }

    /// What tells this copy apart from others with other rows.
    pub fn digest(&self) -> Digest {
        if let Some((edit_count, digest)) = self.cached_digest.get()
            && edit_count == self.edit_count
        {
            return digest;
        }
        let live = self.rows.values().filter(|row| row.value.is_some());
        let digest = Digest::of(live.map(|row| (row.key.as_str(), row.version)));
        self.cached_digest.set(Some((self.edit_count, digest)));
        digest
    }

    /// The rows of a part, in the order of keys.
    pub fn rows_in(&self, part: Part) -> Vec<TableRowWire> {
        let is_in = |row: &&Row| match part {
            Part::Whole => row.value.is_some(),
            Part::After(version) => row.version > version,
        };
        let rows = self.rows.values().filter(is_in);
        rows.map(TableRowWire::from).collect()
    }
}
