//! Cache of encoded bodies, so that each is encoded once for all instances that request it.

use {
    super::{RelayError, RowSelection, TableRowWire, body},
    bytes::Bytes,
};

/// Number of cached bodies per table. Most instances request the last change; a few that
/// lag behind request more.
const MAX_BODIES: usize = 4;

/// Cache of the most recent bodies of `N` tables. Instances that request the same rows get
/// the same body, which is encoded and compressed once.
#[derive(Debug)]
pub struct BodyCache<const N: usize> {
    tables: [TableBodies; N],
    encode_count: u64,
}

/// Cached bodies of one table. They are valid for one edit count of the table.
#[derive(Debug, Default)]
struct TableBodies {
    edit_count: u64,
    bodies: Vec<(RowSelection, Bytes)>,
}

impl<const N: usize> Default for BodyCache<N> {
    fn default() -> Self {
        Self {
            tables: std::array::from_fn(|_| TableBodies::default()),
            encode_count: 0,
        }
    }
}

impl<const N: usize> BodyCache<N> {
    /// Returns the body with the selected rows of a table, as of the given number of edits
    /// of the table. If the body is not cached, `rows` provides the rows to encode.
    ///
    /// # Errors
    /// [`RelayError`] if the rows cannot be encoded.
    pub fn get_or_encode(
        &mut self,
        table: usize,
        edit_count: u64,
        selection: RowSelection,
        rows: impl FnOnce() -> Vec<TableRowWire>,
    ) -> Result<Bytes, RelayError> {
        let entry = &mut self.tables[table];
        if entry.edit_count != edit_count {
            entry.edit_count = edit_count;
            entry.bodies.clear();
        }
        if let Some((_, cached)) = entry.bodies.iter().find(|(cached, _)| *cached == selection) {
            return Ok(cached.clone());
        }
        let body = body::encode(&rows())?;
        self.encode_count += 1;
        if entry.bodies.len() == MAX_BODIES {
            entry.bodies.remove(0);
        }
        entry.bodies.push((selection, body.clone()));
        Ok(body)
    }

    /// Returns the number of bodies encoded so far.
    pub fn encode_count(&self) -> u64 {
        self.encode_count
    }
}
