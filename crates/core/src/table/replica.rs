//! The copy of the table that an instance holds.

use {
    super::{Changes, Row, RowKey, TableError, Versioned},
    crate::id::Revision,
    std::collections::BTreeMap,
};

/// All rows as of one revision. It only ever moves forward.
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
    /// The last commit that this copy holds.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// One row.
    pub fn get(&self, key: &RowKey) -> Option<&Versioned<Row>> {
        self.rows.get(key)
    }

    /// All rows in the order of their keys.
    pub fn rows(&self) -> impl Iterator<Item = (&RowKey, &Versioned<Row>)> {
        self.rows.iter()
    }

    /// Applies changes. An answer that was overtaken by a later one changes
    /// nothing, so that the copy never goes back.
    ///
    /// # Errors
    /// [`TableError::Gap`] if they start beyond this copy; nothing is changed.
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
