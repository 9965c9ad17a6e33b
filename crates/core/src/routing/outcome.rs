//! Outcome of a request.

use {
    crate::id::ParseIdError,
    std::{fmt, str::FromStr},
};

/// Outcome of a request, sent to the client in the header `citron-outcome`.
///
/// ```
/// use citron_core::routing::Outcome;
/// assert_eq!(Outcome::NotRun.to_string(), "not-run");
/// assert_eq!("ran".parse(), Ok(Outcome::Ran));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A backend server ran the request, and its response is forwarded.
    Ran,
    /// No backend server ran the request, and none will.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        })
    }
}

impl FromStr for Outcome {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        match text {
            "ran" => Ok(Self::Ran),
            "not-run" => Ok(Self::NotRun),
            "unknown" => Ok(Self::Unknown),
            _ => Err(ParseIdError::Name {
                found: text.to_string(),
            }),
        }
    }
}
