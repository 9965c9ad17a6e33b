//! Names of backend servers, and of their starts.

use {
    super::{ParseIdError, StartTime, name::check_name},
    std::{fmt, str::FromStr},
};

/// Between a server's id and the moment of its start.
const START_SEPARATOR: char = '@';

/// One start of a backend server: its id and, where servers tell it, when it
/// started. A server that starts again under its id holds nothing and knows
/// nothing of before, so that all that is known of a server goes by this.
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
    /// The start of this server at a moment.
    pub fn with_start_time(self, start_time: Option<StartTime>) -> Self {
        Self { start_time, ..self }
    }

    /// The id, which other starts may have, too.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// When it started, if it tells.
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
