//! Memory for the copies of request bodies.

use std::{cell::Cell, rc::Rc};

/// Bytes of each copy that need no reservation.
const FREE_BYTES: usize = 64 * 1_024;

/// Memory that the copies of all request bodies of a thread share.
///
/// ```
/// use {citronproxy::traffic::{BufferBudget, Reservation}, std::rc::Rc};
/// let budget = Rc::new(BufferBudget::new(100_000));
/// let mut first = Reservation::new(&budget);
/// let mut second = Reservation::new(&budget);
/// assert!(first.grow(150_000));
/// assert!(second.grow(65_536));
/// assert!(!second.grow(65_536));
/// first.release();
/// assert!(second.grow(65_536));
/// ```
#[derive(Debug)]
pub struct BufferBudget {
    remaining: Cell<usize>,
}

impl BufferBudget {
    /// Creates a budget of this many bytes.
    pub fn new(bytes: usize) -> Self {
        Self {
            remaining: Cell::new(bytes),
        }
    }
}

/// Memory of one copy, returned to the budget when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Rc<BufferBudget>,
    /// Size of the copy.
    bytes: usize,
    /// Part of it that was taken from the budget.
    reserved: usize,
}

impl Reservation {
    /// Creates an empty reservation.
    pub fn new(budget: &Rc<BufferBudget>) -> Self {
        Self {
            budget: Rc::clone(budget),
            bytes: 0,
            reserved: 0,
        }
    }

    /// Grows the copy by this many bytes. Returns whether the budget allows that.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let size = self.bytes + bytes;
        let needed = size
            .saturating_sub(FREE_BYTES)
            .saturating_sub(self.reserved);
        let remaining = self.budget.remaining.get();
        if needed > remaining {
            return false;
        }
        self.budget.remaining.set(remaining - needed);
        self.reserved += needed;
        self.bytes = size;
        true
    }

    /// Returns all memory to the budget.
    pub fn release(&mut self) {
        let remaining = self.budget.remaining.get();
        self.budget.remaining.set(remaining + self.reserved);
        (self.bytes, self.reserved) = (0, 0);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.release();
    }
}
