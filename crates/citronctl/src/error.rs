//! Errors and the exit codes they end with.

use {citron_wire::admin::ErrorWire, thiserror::Error};

/// Why a command did not do what it was asked to.
#[derive(Debug, Error)]
pub enum CtlError {
    /// Nothing took effect.
    #[error("{0}")]
    Failed(String),
    /// The command line is wrong; nothing was sent.
    #[error("{0}")]
    Usage(String),
    /// The instance refused, and nothing took effect.
    #[error("{}{}", wire.message, current_row(wire))]
    Refused {
        /// What the instance said.
        wire: Box<ErrorWire>,
    },
    /// The edit may or may not have taken effect.
    #[error("outcome unknown: {0}; look at 'citronctl history'")]
    Unknown(String),
    /// The edit is accepted, but was not seen in force everywhere in time.
    #[error("revision {revision} is accepted, but not yet seen in force on: {missing}")]
    Pending {
        /// The revision.
        revision: u64,
        /// Where it is missing.
        missing: String,
    },
}

impl CtlError {
    /// The exit code, as `citronctl --help` lists them.
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

/// The row as it is, after a lost race.
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
