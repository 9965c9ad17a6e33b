//! What is refused of keys, ranges and maps.

use {
    super::{KeyRange, RangeKey},
    thiserror::Error,
};

/// Why a key, a range or a map of them is refused.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RangeError {
    /// Not a key.
    #[error("'{input}' is no key from 0 to 65535")]
    InvalidKey {
        /// What was found.
        input: String,
    },
    /// The ends are in the wrong order.
    #[error("{first} to {last} is no range: its first key is above its last")]
    InvalidOrder {
        /// The first key.
        first: RangeKey,
        /// The last key.
        last: RangeKey,
    },
    /// Slices leave a key out, or hold it twice.
    #[error("slice {range} does not begin where the one before it ends")]
    NotContiguous {
        /// The slice that begins elsewhere.
        range: KeyRange,
    },
    /// An epoch that is not above all former ones of a key.
    #[error("epoch {epoch} of {range} is not above {highest}")]
    StaleEpoch {
        /// The keys.
        range: KeyRange,
        /// What was to be set.
        epoch: u64,
        /// The highest former epoch.
        highest: u64,
    },
}
