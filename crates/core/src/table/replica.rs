//! The replica of the table that an instance holds.

use {
    super::{Changes, Row, RowKey, TableError, Versioned},
    crate::id::Revision,
    std::collections::BTreeMap,
};

/// Replica of the table: all rows as of one revision. The revision never decreases.
///
/// ```
/// use citron_core::{id::Revision, table::{Changes, DomainRow, DomainState, Row, Table}};
/// let name = "domain-1".parse().unwrap();
/// let row = Row::Domain(DomainRow { name, state: DomainState::Live, confirmers: Vec::new() });
/// let mut table = Table::default();
/// let rows = vec![(row.key(), Revision(1), Some(row.clone()))];
/// table.apply(Changes { since: Revision(0), revision: Revision(1), rows }).unwrap();
/// assert_eq!(table.revision(), Revision(1));
/// assert_eq!(table.get(&row.key()).unwrap().value, row);
/// ```
#[derive(Debug, Clone, Default)]
pub struct Table {
    revision: Revision,
    rows: BTreeMap<RowKey, Versioned<Row>>,
}

impl Table {
    /// The revision of the last commit that the replica contains.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The row under a key, with its version.
    pub fn get(&self, key: &RowKey) -> Option<&Versioned<Row>> {
        self.rows.get(key)
    }

    /// All rows, ordered by key.
    pub fn rows(&self) -> impl Iterator<Item = (&RowKey, &Versioned<Row>)> {
        self.rows.iter()
    }

    /// Applies changes. Changes up to a revision that the replica already has are
    /// ignored, so that responses that arrive out of order never revert a row.
    ///
    /// # Errors
    /// [`TableError::Gap`] if the changes start after the replica's revision; the replica
    /// is unchanged then.
    pub fn apply(&mut self, changes: Changes) -> Result<(), TableError> {
        let have = self.revision;
        if changes.since > have {
            let found = changes.since;
            return Err(TableError::Gap { have, found });
        }
        if changes.revision <= have {
            return Ok(());
        }
        for (key, version, row) in changes.rows {
            self.apply_row(key, version, row);
        }
        self.revision = changes.revision;
        Ok(())
    }

    fn apply_row(&mut self, key: RowKey, version: Revision, row: Option<Row>) {
        let Some(value) = row else {
            self.rows.remove(&key);
            return;
        };
        self.rows.insert(key, Versioned { version, value });
    }
}
