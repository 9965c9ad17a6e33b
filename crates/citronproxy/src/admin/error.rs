//! Errors of the admin API, each with its status and word.

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

/// Why a call is refused.
#[derive(Debug, Error)]
pub enum AdminError {
    /// The settings hold no token.
    #[error("this instance's settings hold no token, so it takes no calls")]
    NoToken,
    /// No token, or a wrong one.
    #[error("the bearer token is missing or wrong")]
    Unauthorized,
    /// No such call or row.
    #[error("{0} is not there")]
    NotFound(String),
    /// A known path, called with another method.
    #[error("this path does not take {0}")]
    MethodNotAllowed(String),
    /// An edit that does not say which version it saw.
    #[error("name the version you saw in If-Match, or add with If-None-Match: *")]
    MissingVersion,
    /// A request that cannot be read.
    #[error("{0}")]
    Malformed(String),
    /// A rule of the table is broken.
    #[error(transparent)]
    Table(#[from] TableError),
    /// A move that cannot begin.
    #[error(transparent)]
    Move(#[from] MoveError),
    /// A row changed since the operator read it; nothing took effect.
    #[error("row {key} has changed since you read it; nothing took effect")]
    Conflict {
        /// The row.
        key: RowKey,
        /// What it is now.
        current: Option<Box<Versioned<Row>>>,
    },
    /// Rows that the edit rests on kept changing; nothing took effect.
    #[error("rows this edit rests on kept changing; nothing took effect, try again")]
    Contention,
    /// The platform could not be read; nothing took effect.
    #[error("the platform cannot be read, so nothing took effect: {0}")]
    PlatformUnavailable(String),
    /// The edit may or may not have taken effect, now or in a moment.
    #[error("outcome unknown, read the rows or the history to see: {0}")]
    OutcomeUnknown(String),
}

impl AdminError {
    /// A read that failed.
    pub(super) fn platform_unavailable(error: PlatformError) -> Self {
        Self::PlatformUnavailable(error.to_string())
    }

    /// A commit that failed: whatever the reason, its effect is open.
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
