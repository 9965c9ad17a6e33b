//! Errors of settings.

use {std::path::PathBuf, thiserror::Error};

/// An error in a settings file.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{file}: {source}", file = file.display())]
    Read {
        /// The file.
        file: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file is not valid JSON, or a field is missing, unknown or of the wrong type.
    #[error("{file}: field '{field}': {message}", file = file.display())]
    Syntax {
        /// The file.
        file: PathBuf,
        /// Path of the field within the file.
        field: String,
        /// Error of the parser, with line and column.
        message: String,
    },
    /// The value of a field is not allowed.
    #[error("{file}: field '{field}' is '{found}'; allowed: {allowed}", file = file.display())]
    Value {
        /// The file.
        file: PathBuf,
        /// The field.
        field: String,
        /// The value found.
        found: String,
        /// The values that are allowed.
        allowed: String,
    },
}
