//! Query for a table, encoded as a request path.

use {
    super::Digest,
    std::{fmt, str::FromStr},
};

/// Encoding of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// With a format version, and with long bodies compressed. The paths are
    /// `/packed/TABLE/AFTER` and `/packed/TABLE/AFTER/DIGEST`.
    Packed,
    /// Uncompressed and without a format version, at the path `/tables/TABLE/AFTER`. It is
    /// the only format of instances that were built before `Packed` existed.
    Plain,
}

impl Format {
    /// Returns the previous format, if there is one.
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

/// Query for the changes of a table. Its text form is the path of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TableQuery {
    /// Requested format of the response.
    pub format: Format,
    /// Index of the table among the tables that instances watch.
    pub table: usize,
    /// Version after which changes are requested.
    pub after: u64,
    /// Digest of the rows that the sender of the query has. A receiver with the same rows
    /// does not send them.
    pub digest: Option<Digest>,
}

impl TableQuery {
    /// Creates a query in the newest format.
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

    /// Adds the digest of the rows that the sender of the query already has.
    pub fn with_digest(self, digest: Digest) -> Self {
        let digest = Some(digest);
        Self { digest, ..self }
    }

    /// Returns the query in the previous format, for an instance that does not support the
    /// current one. The previous format has no digest.
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
