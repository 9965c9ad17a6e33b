//! Budget of bytes for filling a datagram.

use serde::Serialize;

/// Number of bytes that can still be added.
#[derive(Debug)]
pub struct ByteBudget(usize);

impl ByteBudget {
    /// Creates a budget.
    pub fn new(bytes: usize) -> Self {
        Self(bytes)
    }

    /// Splits off a share of the budget, between 0 and 1.
    pub fn split_off(&mut self, share: f64) -> Self {
        let bytes = (self.0 as f64 * share) as usize;
        self.0 -= bytes;
        Self(bytes)
    }

    /// Returns the unused rest of a share to the budget.
    pub fn return_unused(&mut self, unused: Self) {
        self.0 += unused.0;
    }

    /// Returns the leading items that fit, and subtracts their encoded size.
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
