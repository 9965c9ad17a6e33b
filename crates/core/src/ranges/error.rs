//! Errors of keys, ranges and maps.

use {
    super::{KeyRange, RangeKey},
    thiserror::Error,
};

/// Why a key, a range or a map was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RangeError {
    /// The text is not a key.
    #[error("'{input}' is not a key from 0 to 65535")]
    InvalidKey {
        /// The rejected text.
        input: String,
    },
    /// The first key is above the last one.
    #[error("invalid range {first}-{last}: the first key is above the last")]
    InvalidOrder {
        /// The first key.
        first: RangeKey,
        /// The last key.
        last: RangeKey,
    },
    /// The slices leave a gap or overlap.
    #[error("slices leave a gap or overlap at {range}")]
    NotContiguous {
        /// The slice that does not start right after the one before it, or the whole key
        /// space if the last slice ends too early.
        range: KeyRange,
    },
    /// The epoch is not above every earlier epoch of the keys.
    #[error("epoch {epoch} of {range} is not above the earlier epoch {highest}")]
    StaleEpoch {
        /// The keys.
        range: KeyRange,
        /// The rejected epoch.
        epoch: u64,
        /// The highest earlier epoch.
        highest: u64,
    },
    /// Keys that should ascend do not.
    #[error("key {before} is followed by the lower key {after}")]
    Unordered {
        /// The key that is followed by a lower one.
        before: RangeKey,
        /// The lower key.
        after: RangeKey,
    },
}
