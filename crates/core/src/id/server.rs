//! Names of backend servers and their process starts.

use {
    super::{ParseIdError, StartTime, name::check_name},
    std::{fmt, str::FromStr},
};

/// Separator between a server's id and its start time.
const START_SEPARATOR: char = '@';

/// Name of one process start of a backend server: its id and, if the server reports it,
/// its start time. A server that restarts under the same id has lost its keys and its
/// state, so all records of a server refer to this name.
///
/// ```
/// use citron_core::id::ServerName;
/// let name: ServerName = "depot-1".parse().unwrap();
/// let again: ServerName = "depot-1@1767225600000".parse().unwrap();
/// assert_eq!(name.id(), again.id());
/// assert_ne!(name, again);
/// assert!("No Spaces".parse::<ServerName>().is_err());
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerName {
    id: String,
    start_time: Option<StartTime>,
}

impl ServerName {
    /// This name with another start time.
    pub fn with_start_time(self, start_time: Option<StartTime>) -> Self {
        Self { start_time, ..self }
    }

    /// The server's id, which is the same across restarts.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// The server's start time, if the server reports it.
    pub fn start_time(&self) -> Option<StartTime> {
        self.start_time
    }
}

impl fmt::Display for ServerName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.start_time {
            Some(start_time) => write!(f, "{}{START_SEPARATOR}{start_time}", self.id),
            None => f.pad(&self.id),
        }
    }
}

impl FromStr for ServerName {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let (id, start_time) = match text.split_once(START_SEPARATOR) {
            Some((id, start_time)) => (id, Some(start_time.parse()?)),
            None => (text, None),
        };
        Ok(Self {
            id: check_name(id)?,
            start_time,
        })
    }
}
