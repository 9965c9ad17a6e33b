//! What one instance asks another for.

use {
    super::Digest,
    std::{fmt, str::FromStr},
};

/// How an answer is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// With rows that are packed if they are long, at paths `/packed/TABLE/AFTER` or
    /// `/packed/TABLE/AFTER/DIGEST`.
    Packed,
    /// Without packing and without a format number, at paths `/tables/TABLE/AFTER`:
    /// all that instances before `Packed` know.
    Plain,
}

impl Format {
    /// The one before it.
    pub fn older(self) -> Option<Self> {
        match self {
            Self::Packed => Some(Self::Plain),
            Self::Plain => None,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Self::Packed => "packed",
            Self::Plain => "tables",
        }
    }
}

/// Asks for what has changed in a table. Written as the path of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TableQuery {
    /// How the answer is to be written.
    pub format: Format,
    /// The place of the table among those that instances follow.
    pub table: usize,
    /// The version after which changes are asked for.
    pub after: u64,
    /// The rows that the asker has: it needs none if the other has the same.
    pub digest: Option<Digest>,
}

impl TableQuery {
    /// A question in the newest format.
    ///
    /// ```
    /// use citron_wire::relay::TableQuery;
    /// let query = TableQuery::new(0, 17);
    /// assert_eq!(query.to_string(), "/packed/0/17");
    /// assert_eq!("/packed/0/17".parse(), Ok(query));
    /// ```
    pub fn new(table: usize, after: u64) -> Self {
        Self {
            format: Format::Packed,
            table,
            after,
            digest: None,
        }
    }

    /// The same of an instance that has rows of this digest.
    pub fn with_digest(self, digest: Digest) -> Self {
        let digest = Some(digest);
        Self { digest, ..self }
    }

    /// The same in the format before, for an instance that does not know this one.
    pub fn older(self) -> Option<Self> {
        let format = self.format.older()?;
        let digest = None;
        Some(Self {
            format,
            digest,
            ..self
        })
    }
}

impl fmt::Display for TableQuery {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "/{}/{}/{}", self.format.name(), self.table, self.after)?;
        match self.digest {
            Some(digest) => write!(f, "/{digest}"),
            None => Ok(()),
        }
    }
}

impl FromStr for TableQuery {
    type Err = ();

    fn from_str(path: &str) -> Result<Self, ()> {
        let parse = || {
            let mut parts = path.strip_prefix('/')?.split('/');
            let name = parts.next()?;
            let formats = [Format::Packed, Format::Plain];
            let format = formats.into_iter().find(|format| format.name() == name)?;
            let table = parts.next()?.parse().ok()?;
            let after = parts.next()?.parse().ok()?;
            let digest = match (parts.next(), format) {
                (None, _) => None,
                (Some(digest), Format::Packed) => Some(digest.parse().ok()?),
                (Some(_), Format::Plain) => return None,
            };
            let query = Self {
                format,
                table,
                after,
                digest,
            };
            parts.next().is_none().then_some(query)
        };
        parse().ok_or(())
    }
}
