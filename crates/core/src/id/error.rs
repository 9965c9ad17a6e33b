//! Errors of parsing identifiers.

use thiserror::Error;

/// Reason why a text is not a valid identifier, size or rate.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ParseIdError {
    /// A name that is empty, too long or contains a character that is not allowed.
    #[error("'{found}' is not a name: 1 to 63 of a-z, 0-9, '-', '.' and '_' are allowed")]
    Name {
        /// The text as it was given.
        found: String,
    },
    /// A number that cannot be parsed or is out of range.
    #[error("'{found}' is not a number from {min} to {max}")]
    Number {
        /// The text as it was given.
        found: String,
        /// The smallest number allowed.
        min: u64,
        /// The largest number allowed.
        max: u64,
    },
}
