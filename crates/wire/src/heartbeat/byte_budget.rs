//! What still fits into a datagram.

use serde::Serialize;

/// Bytes that are left.
#[derive(Debug)]
pub struct Room(usize);

impl Room {
    /// So many bytes.
    pub fn of(bytes: usize) -> Self {
        Self(bytes)
    }

    /// Takes a part of it out.
    pub fn split(&mut self, part: f64) -> Self {
        let bytes = (self.0 as f64 * part) as usize;
        self.0 -= bytes;
        Self(bytes)
    }

    /// Gives back what was taken out and is not needed.
    pub fn give_back(&mut self, left: Self) {
        self.0 += left.0;
    }

    /// The first items, as many as fit.
    pub fn fill<T: Serialize>(&mut self, items: Vec<T>) -> Vec<T> {
        let fits = |item: &T| {
            let size = postcard::experimental::serialized_size(item).unwrap_or(usize::MAX);
            let fits = size <= self.0;
            self.0 = self.0.saturating_sub(size);
            fits
        };
        items.into_iter().take_while(fits).collect()
    }
}
