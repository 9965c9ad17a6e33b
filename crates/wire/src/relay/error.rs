//! Errors of encoding and decoding tables.

use thiserror::Error;

/// Error of encoding or decoding a table.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RelayError {
    /// The response was encoded by an instance with another version of the format.
    #[error("format version {0} is not supported")]
    UnsupportedFormat(u8),
    /// The rows are larger than allowed.
    #[error("the rows take more than {0} bytes")]
    TooLarge(usize),
    /// The response is incomplete or malformed.
    #[error("malformed table: {0}")]
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
