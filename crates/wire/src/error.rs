//! Errors of turning wire types into core types.

use {citron_core::id::ParseIdError, thiserror::Error};

/// Why a wire value is not valid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum WireError {
    /// A name or number that does not parse.
    #[error("{field}: {source}")]
    InvalidId {
        /// The field at fault.
        field: String,
        /// What is wrong with it.
        source: ParseIdError,
    },
    /// Any other value outside what is allowed.
    #[error("{field} is '{found}'; allowed: {allowed}")]
    InvalidValue {
        /// The field at fault.
        field: String,
        /// What it holds.
        found: String,
        /// What it may hold.
        allowed: String,
    },
    /// A message between instances that is damaged.
    #[error("damaged message: {0}")]
    MalformedMessage(String),
}

/// Parses one field, naming it in the error.
pub(crate) fn parse_field<T>(field: &str, text: &str) -> Result<T, WireError>
where
    T: std::str::FromStr<Err = ParseIdError>,
{
    text.parse().map_err(|source| WireError::InvalidId {
        field: field.to_string(),
        source,
    })
}

/// An error that names a field, what it holds and what it may hold.
pub(crate) fn invalid_value(field: &str, found: impl ToString, allowed: &str) -> WireError {
    WireError::InvalidValue {
        field: field.to_string(),
        found: found.to_string(),
        allowed: allowed.to_string(),
    }
}
