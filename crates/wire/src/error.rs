//! Errors of converting wire types to core types.

use {citron_core::id::ParseIdError, thiserror::Error};

/// Error of converting a wire value to a core type.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum WireError {
    /// A name or number cannot be parsed.
    #[error("{field}: {source}")]
    InvalidId {
        /// Name of the invalid field.
        field: String,
        /// Error of the parser.
        source: ParseIdError,
    },
    /// A field has a value that is not allowed.
    #[error("{field} is '{found}'; allowed: {allowed}")]
    InvalidValue {
        /// Name of the invalid field.
        field: String,
        /// Value of the field.
        found: String,
        /// Description of the allowed values.
        allowed: String,
    },
    /// A message between instances is malformed.
    #[error("damaged message: {0}")]
    MalformedMessage(String),
}

/// Parses the text of a field. The error names the field.
pub(crate) fn parse_field<T>(field: &str, text: &str) -> Result<T, WireError>
where
    T: std::str::FromStr<Err = ParseIdError>,
{
    text.parse().map_err(|source| WireError::InvalidId {
        field: field.to_string(),
        source,
    })
}

/// Creates an error that names a field, its value and the allowed values.
pub(crate) fn invalid_value(field: &str, found: impl ToString, allowed: &str) -> WireError {
    WireError::InvalidValue {
        field: field.to_string(),
        found: found.to_string(),
        allowed: allowed.to_string(),
    }
}
