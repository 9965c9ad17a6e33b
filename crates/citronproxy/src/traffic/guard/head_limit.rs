//! How large a head may be.

use super::Refusal;

/// The bounds of a head.
#[derive(Debug, Clone, Copy)]
pub struct HeadLimit {
    /// Bytes that are allowed now.
    pub configured: usize,
    /// Bytes that the connection has room for, for good.
    pub buffer: usize,
}

impl HeadLimit {
    /// Bytes that a head may have.
    pub fn max_bytes(&self) -> usize {
        self.configured.min(self.buffer)
    }

    /// Why one that is larger is refused.
    pub fn refusal(&self) -> Refusal {
        match self.configured > self.buffer {
            true => Refusal::BufferTooSmall,
            false => Refusal::HeadTooLarge,
        }
    }
}
