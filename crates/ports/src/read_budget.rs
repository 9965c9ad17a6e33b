//! Limit of the bytes that a peer may send without completing what is waited for.

use std::{
    io::{self, ErrorKind},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

/// Bytes that may be read from a connection until the budget is reset. Clones share it.
///
/// HTTP libraries limit heads and trailers, but read interim responses, empty lines and chunk
/// sizes without end, and a body of any length.
///
/// ```
/// use citron_ports::ReadBudget;
/// let budget = ReadBudget::new(100);
/// assert!(budget.spend(60).is_ok());
/// assert!(budget.spend(60).is_err());
/// budget.reset();
/// assert!(budget.spend(60).is_ok());
/// ```
#[derive(Debug, Clone)]
pub struct ReadBudget {
    limit: usize,
    remaining: Arc<AtomicUsize>,
}

impl ReadBudget {
    /// Creates a budget of this many bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            remaining: Arc::new(AtomicUsize::new(limit)),
        }
    }

    /// Allows the full number of bytes again.
    pub fn reset(&self) {
        self.remaining.store(self.limit, Ordering::Relaxed);
    }

    /// Takes bytes that were read.
    ///
    /// # Errors
    /// If the budget is exceeded.
    pub fn spend(&self, bytes: usize) -> io::Result<()> {
        let remaining = self.remaining.load(Ordering::Relaxed);
        match remaining.checked_sub(bytes) {
            Some(remaining) => {
                self.remaining.store(remaining, Ordering::Relaxed);
                Ok(())
            }
            None => {
                let reason = format!("over {} bytes that complete nothing", self.limit);
                Err(io::Error::new(ErrorKind::InvalidData, reason))
            }
        }
    }
}
