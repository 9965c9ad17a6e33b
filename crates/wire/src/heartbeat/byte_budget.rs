//! What still fits into a datagram.

use serde::Serialize;

/// Bytes that are left.
#[derive(Debug)]
pub struct ByteBudget(usize);

impl ByteBudget {
    /// So many bytes.
    pub fn new(bytes: usize) -> Self {
        Self(bytes)
    }

    /// Takes a part of it out.
    pub fn split_off(&mut self, share: f64) -> Self {
        let bytes = (self.0 as f64 * share) as usize;
        self.0 -= bytes;
        Self(bytes)
    }

    /// Gives back what was taken out and is not needed.
    pub fn return_unused(&mut self, unused: Self) {
        self.0 += unused.0;
    }

    /// The first items, as many as fit.
    pub fn take_fitting<T: Serialize>(&mut self, items: Vec<T>) -> Vec<T> {
        let fits = |item: &T| {
            let size = postcard::experimental::serialized_size(item).unwrap_or(usize::MAX);
            let fits = size <= self.0;
            self.0 = self.0.saturating_sub(size);
            fits
        };
        items.into_iter().take_while(fits).collect()
    }
}
