//! Names of backend servers, and of their starts.

use {
    super::{Born, ParseIdError, name::check_name},
    std::{fmt, str::FromStr},
};

/// Between a server's id and the moment of its start.
const AT: char = '@';

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
    born: Option<Born>,
}

impl ServerName {
    /// The start of this server at a moment.
    pub fn started(self, born: Option<Born>) -> Self {
        Self { born, ..self }
    }

    /// The id, which other starts may have, too.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// When it started, if it tells.
    pub fn born(&self) -> Option<Born> {
        self.born
    }
}

impl fmt::Display for ServerName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.born {
            Some(born) => write!(f, "{}{AT}{born}", self.id),
            None => f.pad(&self.id),
        }
    }
}

impl FromStr for ServerName {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let (id, born) = match text.split_once(AT) {
            Some((id, born)) => (id, Some(born.parse()?)),
            None => (text, None),
        };
        Ok(Self {
            id: check_name(id)?,
            born,
        })
    }
}
