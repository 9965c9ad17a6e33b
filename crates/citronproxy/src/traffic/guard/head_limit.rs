//! How large a head may be.

use super::Refusal;

/// The bounds of a head.
#[derive(Debug, Clone, Copy)]
pub struct HeadSize {
    /// Bytes that are allowed now.
    pub allowed: usize,
    /// Bytes that the connection has room for, for good.
    pub room: usize,
}

impl HeadSize {
    /// Bytes that a head may have.
    pub fn max(&self) -> usize {
        self.allowed.min(self.room)
    }

    /// Why one that is larger is refused.
    pub fn refusal(&self) -> Refusal {
        match self.allowed > self.room {
            true => Refusal::Room,
            false => Refusal::Large,
        }
    }
}
