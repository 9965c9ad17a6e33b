//! Errors of the admin API, with their HTTP status and error code.

use {
    crate::events,
    citron_core::{
        ownership::MoveError,
        table::{Row, RowKey, TableError, Versioned},
    },
    citron_ports::PlatformError,
    citron_wire::{
        WireError,
        admin::{ErrorWire, VersionedRowWire},
    },
    http::StatusCode,
    thiserror::Error,
};

/// A refused admin API request.
#[derive(Debug, Error)]
pub enum AdminError {
    /// The settings contain no token.
    #[error("the settings of this instance have no admin token, so it refuses every request")]
    NoToken,
    /// The token is missing or wrong.
    #[error("the bearer token is missing or wrong")]
    Unauthorized,
    /// No such path or row.
    #[error("{0} not found")]
    NotFound(String),
    /// The path exists, but not with this method.
    #[error("method {0} is not allowed for this path")]
    MethodNotAllowed(String),
    /// The edit does not state the version that it is based on.
    #[error(
        "no version given: send the version read in If-Match, or If-None-Match: * to add a row"
    )]
    MissingVersion,
    /// The request cannot be parsed.
    #[error("{0}")]
    Malformed(String),
    /// The edit violates a rule of the table.
    #[error(transparent)]
    Table(#[from] TableError),
    /// The move cannot begin.
    #[error(transparent)]
    Move(#[from] MoveError),
    /// The row has changed since the operator read it; nothing took effect.
    #[error("row {key} has changed since it was read; nothing took effect")]
    Conflict {
        /// The row.
        key: RowKey,
        /// The current row; `None` if it was deleted.
        current: Option<Box<Versioned<Row>>>,
    },
    /// Rows that the edit depends on kept changing; nothing took effect.
    #[error("rows that this edit depends on kept changing; nothing took effect, try again")]
    Contention,
    /// The platform could not be read; nothing took effect.
    #[error("the platform cannot be read, so nothing took effect: {0}")]
    PlatformUnavailable(String),
    /// The edit may have taken effect, or may still do so.
    #[error("outcome unknown, check the rows or the history: {0}")]
    OutcomeUnknown(String),
}

impl AdminError {
    /// Error of a failed read.
    pub(super) fn platform_unavailable(error: PlatformError) -> Self {
        Self::PlatformUnavailable(error.to_string())
    }

    /// Error of a failed commit. Whatever the reason, the commit may have taken effect.
    pub(super) fn outcome_unknown(error: PlatformError) -> Self {
        log::warn!("{} {error}", events::EDIT_UNKNOWN);
        Self::OutcomeUnknown(error.to_string())
    }

    pub(super) fn status(&self) -> StatusCode {
        match self {
            Self::NoToken => StatusCode::FORBIDDEN,
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::NotFound(_) => StatusCode::NOT_FOUND,
            Self::MethodNotAllowed(_) => StatusCode::METHOD_NOT_ALLOWED,
            Self::MissingVersion => StatusCode::PRECONDITION_REQUIRED,
            Self::Malformed(_) => StatusCode::BAD_REQUEST,
            Self::Table(TableError::Conflict { .. }) | Self::Conflict { .. } => {
                StatusCode::PRECONDITION_FAILED
            }
            Self::Table(_) | Self::Move(_) => StatusCode::UNPROCESSABLE_ENTITY,
            Self::Contention | Self::PlatformUnavailable(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::OutcomeUnknown(_) => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    fn code(&self) -> &'static str {
        match self {
            Self::NoToken => "no-token",
            Self::Unauthorized => "unauthorized",
            Self::NotFound(_) => "not-found",
            Self::MethodNotAllowed(_) => "method",
            Self::MissingVersion => "no-version",
            Self::Malformed(_) => "malformed",
            Self::Table(TableError::Conflict { .. }) | Self::Conflict { .. } => "lost",
            Self::Table(_) | Self::Move(_) => "invalid",
            Self::Contention => "busy",
            Self::PlatformUnavailable(_) => "unavailable",
            Self::OutcomeUnknown(_) => "unknown",
        }
    }

    pub(super) fn to_wire(&self) -> ErrorWire {
        let (key, current) = match self {
            Self::Conflict { key, current }
            | Self::Table(TableError::Conflict { key, current }) => (Some(key), current.as_deref()),
            Self::Table(TableError::Invalid { key, .. }) => (Some(key), None),
            _ => (None, None),
        };
        let current = key.zip(current).map(VersionedRowWire::from);
        ErrorWire {
            code: self.code().to_string(),
            message: self.to_string(),
            key: key.map(ToString::to_string),
            current,
        }
    }
}

impl From<WireError> for AdminError {
    fn from(error: WireError) -> Self {
        Self::Malformed(error.to_string())
    }
}
