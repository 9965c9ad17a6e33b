//! Errors of commands and their exit codes.

use {citron_wire::admin::ErrorWire, thiserror::Error};

/// Error that ends a command.
#[derive(Debug, Error)]
pub enum CtlError {
    /// The command failed, and nothing took effect.
    #[error("{0}")]
    Failed(String),
    /// The command line is wrong; nothing was sent.
    #[error("{0}")]
    Usage(String),
    /// The instance refused the request, and nothing took effect.
    #[error("{}{}", wire.message, current_row(wire))]
    Refused {
        /// Error response of the instance.
        wire: Box<ErrorWire>,
    },
    /// No usable response arrived: the edit may or may not have taken effect.
    #[error("outcome unknown: {0}; check 'citronctl history'")]
    Unknown(String),
    /// The edit is accepted, but was not in force on all instances within the wait time.
    #[error("revision {revision} is accepted, but not yet in force on: {missing}")]
    Pending {
        /// Revision of the edit.
        revision: u64,
        /// Names of the instances without the revision, or the owner of a key to be moved.
        missing: String,
    },
}

impl CtlError {
    /// Returns the exit code, as listed by `citronctl --help`.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Failed(_) => 1,
            Self::Usage(_) => 2,
            Self::Refused { wire } if wire.code == "lost" => 3,
            Self::Refused { wire } if wire.code == "unknown" => 4,
            Self::Refused { .. } => 1,
            Self::Unknown(_) => 4,
            Self::Pending { .. } => 5,
        }
    }
}

/// Formats the current row for a version conflict; empty for other errors.
fn current_row(wire: &ErrorWire) -> String {
    let Some(current) = &wire.current else {
        return String::new();
    };
    let row = serde_json::to_string(&current.row).unwrap_or_default();
    format!("\nnow at version {}: {row}", current.version)
}

impl From<pico_args::Error> for CtlError {
    fn from(error: pico_args::Error) -> Self {
        Self::Usage(error.to_string())
    }
}
