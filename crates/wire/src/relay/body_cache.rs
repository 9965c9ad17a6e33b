//! Bodies that are packed once and sent to many.

use {
    super::{Part, RelayError, TableRowWire, body},
    bytes::Bytes,
};

/// Bodies kept for each table: most instances ask for the last change, and some, which
/// are behind, for more.
const KEPT: usize = 4;

/// The last bodies of `N` tables. Instances that ask for the same rows get the same body,
/// written and packed once.
#[derive(Debug)]
pub struct Packer<const N: usize> {
    tables: [Packed; N],
    packings: u64,
}

/// Bodies of one table as it is after so many edits.
#[derive(Debug, Default)]
struct Packed {
    edits: u64,
    bodies: Vec<(Part, Bytes)>,
}

impl<const N: usize> Default for Packer<N> {
    fn default() -> Self {
        Self {
            tables: std::array::from_fn(|_| Packed::default()),
            packings: 0,
        }
    }
}

impl<const N: usize> Packer<N> {
    /// The body with a part of a table that was edited so many times; `rows` is asked
    /// for it if it is not kept.
    ///
    /// # Errors
    /// If the rows could not be written.
    pub fn body(
        &mut self,
        table: usize,
        edits: u64,
        part: Part,
        rows: impl FnOnce() -> Vec<TableRowWire>,
    ) -> Result<Bytes, RelayError> {
        let packed = &mut self.tables[table];
        if packed.edits != edits {
            packed.edits = edits;
            packed.bodies.clear();
        }
        if let Some((_, kept)) = packed.bodies.iter().find(|(kept, _)| *kept == part) {
            return Ok(kept.clone());
        }
        let body = body::write(&rows())?;
        self.packings += 1;
        if packed.bodies.len() == KEPT {
            packed.bodies.remove(0);
        }
        packed.bodies.push((part, body.clone()));
        Ok(body)
    }

    /// How many bodies were written.
    pub fn packings(&self) -> u64 {
        self.packings
    }
}
