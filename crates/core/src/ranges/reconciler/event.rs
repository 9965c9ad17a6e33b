//! Changes of possession, for logs and metrics.

use {
    crate::{
        id::{Epoch, ServerName},
        ranges::KeyRange,
    },
    std::fmt,
};

/// Why the keys of a former owner count as free.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FreeReason {
    /// The release was answered.
    Released,
    /// The last lease that may have been granted has run out, by this planner's record.
    LeaseExpired,
    /// The end of the last lease, as written to the map, has passed.
    ExpiryPassed,
}

impl FreeReason {
    /// Name in logs and metrics.
    ///
    /// ```
    /// use citron_core::ranges::FreeReason;
    /// assert_eq!(FreeReason::LeaseExpired.name(), "lease-expired");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::Released => "released",
            Self::LeaseExpired => "lease-expired",
            Self::ExpiryPassed => "expiry-passed",
        }
    }
}

/// Change of the possession of keys, as the planner knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyEvent {
    /// Keys of a former owner may be granted to another server.
    Freed {
        /// The keys.
        range: KeyRange,
        /// The former owner.
        from: ServerName,
        /// Epoch of the release.
        epoch: Epoch,
        /// Why they count as free.
        reason: FreeReason,
    },
    /// A server has accepted its first grant of a slice from this planner.
    Held {
        /// The keys.
        range: KeyRange,
        /// The owner.
        server: ServerName,
        /// Epoch of the grant.
        epoch: Epoch,
    },
}

impl fmt::Display for KeyEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Freed {
                range,
                from,
                epoch,
                reason,
            } => {
                let reason = reason.name();
                write!(f, "{range} of {from}, epoch {epoch}: {reason}")
            }
            Self::Held {
                range,
                server,
                epoch,
            } => write!(f, "{range} at {server}, epoch {epoch}"),
        }
    }
}
