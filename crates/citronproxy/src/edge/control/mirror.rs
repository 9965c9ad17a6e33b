//! This instance's copy of a table.

use {
    citron_ports::{Row, RowSet},
    std::collections::BTreeMap,
};

/// Rows of a table as of a version; never goes back.
#[derive(Debug, Default)]
pub struct Mirror {
    /// The version that questions go on from; 0 before the first read.
    pub version: u64,
    /// The version of the newest change known: instances compare it.
    pub changed: u64,
    rows: BTreeMap<String, Row>,
}

impl Mirror {
    /// Takes in what changed; the changed rows, or none if the set is old.
    pub fn apply(&mut self, set: RowSet) -> Vec<Row> {
        if set.version < self.version {
            return Vec::new();
        }
        self.version = set.version;
        let known = |row: &Row| self.rows.get(&row.key).map_or(0, |old| old.version);
        let newer = set.rows.into_iter().filter(|row| row.version > known(row));
        let newer: Vec<Row> = newer.collect();
        for row in &newer {
            self.changed = self.changed.max(row.version);
            match row.value {
                Some(_) => self.rows.insert(row.key.clone(), row.clone()),
                None => self.rows.remove(&row.key),
            };
        }
        newer
    }

    /// Replaces all rows by a newer reading, in which the newest change is
    /// `newest`; the changed rows, the removed ones among them.
    pub fn replace(&mut self, set: RowSet, newest: u64) -> Vec<Row> {
        if set.version < self.version {
            return Vec::new();
        }
        self.changed = self.changed.max(newest);
        let listed: Vec<&str> = set.rows.iter().map(|row| row.key.as_str()).collect();
        let gone = self
            .rows
            .keys()
            .filter(|key| !listed.contains(&key.as_str()));
        let gone: Vec<Row> = gone
            .map(|key| Row {
                key: key.clone(),
                value: None,
                version: set.version,
            })
            .collect();
        let mut changed = self.apply(set);
        for row in gone {
            self.rows.remove(&row.key);
            changed.push(row);
        }
        changed
    }

    /// All rows.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }
}
