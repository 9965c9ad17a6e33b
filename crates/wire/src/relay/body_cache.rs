//! Bodies that are packed once and sent to many.

use {
    super::{RelayError, RowSelection, TableRowWire, body},
    bytes::Bytes,
};

/// Bodies kept for each table: most instances ask for the last change, and some, which
/// are behind, for more.
const MAX_BODIES: usize = 4;

/// The last bodies of `N` tables. Instances that ask for the same rows get the same body,
/// written and packed once.
#[derive(Debug)]
pub struct BodyCache<const N: usize> {
    tables: [TableBodies; N],
    encode_count: u64,
}

/// Bodies of one table as it is after so many edits.
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
    /// The body with a part of a table that was edited so many times; `rows` is asked
    /// for it if it is not kept.
    ///
    /// # Errors
    /// If the rows could not be written.
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

    /// How many bodies were written.
    pub fn encode_count(&self) -> u64 {
        self.encode_count
    }
}
