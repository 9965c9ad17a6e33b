//! Errors of settings.

use {std::path::PathBuf, thiserror::Error};

/// Why settings are refused.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{file}: {source}", file = file.display())]
    Read {
        /// The file.
        file: PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
    /// The file is not valid JSON, or a field is missing, unknown or of a wrong
    /// type.
    #[error("{file}: field '{field}': {message}", file = file.display())]
    Syntax {
        /// The file.
        file: PathBuf,
        /// The path of the field.
        field: String,
        /// What is wrong, with line and column.
        message: String,
    },
    /// A field holds a value that is not allowed.
    #[error("{file}: field '{field}' is '{found}'; allowed: {allowed}", file = file.display())]
    Value {
        /// The file.
        file: PathBuf,
        /// The field.
        field: String,
        /// What it holds.
        found: String,
        /// What it may hold.
        allowed: String,
    },
}
