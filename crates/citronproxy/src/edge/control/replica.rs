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
pub struct Mirror {
    /// The version that questions go on from; 0 before the first read.
    pub version: u64,
    /// The version of the newest change known: instances compare it.
    pub changed: u64,
    /// The version of the last reading of all rows: a row that was removed before
    /// it may have left no trace here.
    base: u64,
    /// How often rows have changed here.
    pub edits: u64,
    /// The digest, and the edits as of which it was worked out.
    digest: Cell<Option<(u64, Digest)>>,
    rows: BTreeMap<String, Row>,
}

impl Mirror {
    /// Takes in what changed, the newest change being `newest`; the changed rows,
    /// or none if the set is old.
    pub fn apply(&mut self, set: RowSet, newest: u64) -> Vec<Row> {
        if set.version < self.version {
            return Vec::new();
        }
        self.version = set.version;
        self.changed = self.changed.max(newest);
        let known = |row: &Row| self.rows.get(&row.key).map_or(0, |old| old.version);
        let newer = set.rows.into_iter().filter(|row| row.version > known(row));
        let newer: Vec<Row> = newer.collect();
        self.edits += u64::from(!newer.is_empty());
        for row in &newer {
            self.changed = self.changed.max(row.version);
            self.rows.insert(row.key.clone(), row.clone());
        }
        newer
    }

    /// Replaces all rows by a newer reading, the newest change being `newest`; the
    /// changed rows, the removed ones among them.
    pub fn replace(&mut self, mut set: RowSet, newest: u64) -> Vec<Row> {
        if set.version < self.version {
            return Vec::new();
        }
        self.base = set.version;
        let listed: BTreeSet<&str> = set.rows.iter().map(|row| row.key.as_str()).collect();
        let live = self.rows.values().filter(|row| row.value.is_some());
        let gone = live.filter(|row| !listed.contains(row.key.as_str()));
        let gone = gone.map(|row| Row {
            key: row.key.clone(),
            value: None,
            version: set.version,
        });
        let gone: Vec<Row> = gone.collect();
        set.rows.extend(gone);
        self.apply(set, newest)
    }

    /// What to hand to an instance that asks for the changes after a version and has
    /// rows of this digest. The version of a reading of all rows is the newest change for
    /// what is known, so that others ask, of whom most have the same rows.
    pub fn part(&self, after: u64, digest: Option<Digest>) -> Part {
        let versions = self.rows.values().map(|row| row.version);
        match Part::since(after, self.base, versions) {
            Part::Whole if digest == Some(self.digest()) => Part::After(self.changed),
            part => part,
        }
    }

    /// What tells this copy apart from others with other rows.
    pub fn digest(&self) -> Digest {
        if let Some((edits, digest)) = self.digest.get()
            && edits == self.edits
        {
            return digest;
        }
        let live = self.rows.values().filter(|row| row.value.is_some());
        let digest = Digest::of(live.map(|row| (row.key.as_str(), row.version)));
        self.digest.set(Some((self.edits, digest)));
        digest
    }

    /// The rows of a part, in the order of keys.
    pub fn rows(&self, part: Part) -> Vec<TableRowWire> {
        let is_in = |row: &&Row| match part {
            Part::Whole => row.value.is_some(),
            Part::After(version) => row.version > version,
        };
        let rows = self.rows.values().filter(is_in);
        rows.map(TableRowWire::from).collect()
    }
}
