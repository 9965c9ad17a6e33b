//! Maximum size of request heads.

use super::Refusal;

/// Size limits of a request head.
#[derive(Debug, Clone, Copy)]
pub struct HeadLimit {
    /// Maximum size in bytes by the current configuration.
    pub configured: usize,
    /// Size in bytes of the connection's read buffer, which is fixed when the connection
    /// is accepted.
    pub buffer: usize,
}

impl HeadLimit {
    /// Effective maximum size of a head in bytes.
    pub fn max_bytes(&self) -> usize {
        self.configured.min(self.buffer)
    }

    /// Refusal of a head that exceeds [`Self::max_bytes`].
    pub fn refusal(&self) -> Refusal {
        match self.configured > self.buffer {
            true => Refusal::BufferTooSmall,
            false => Refusal::HeadTooLarge,
        }
    }
}
