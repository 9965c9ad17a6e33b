//! Errors of reading and writing answers.

use thiserror::Error;

/// Why a table could not be read or written.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RelayError {
    /// It was written by an instance of another version.
    #[error("it is in format {0}, which is not known here")]
    UnsupportedFormat(u8),
    /// Unpacked it is longer than allowed.
    #[error("unpacked it is longer than {0} bytes")]
    TooLarge(usize),
    /// It is incomplete or damaged.
    #[error("it is damaged: {0}")]
    Malformed(String),
}

impl From<postcard::Error> for RelayError {
    fn from(error: postcard::Error) -> Self {
        Self::Malformed(error.to_string())
    }
}

impl From<std::io::Error> for RelayError {
    fn from(error: std::io::Error) -> Self {
        Self::Malformed(error.to_string())
    }
}
