//! What one instance asks another for.

use std::{fmt, str::FromStr};

/// How an answer is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// With rows that are packed if they are long, at paths `/packed/TABLE/AFTER`.
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
pub struct TableQuestion {
    /// How the answer is to be written.
    pub format: Format,
    /// The place of the table among those that instances follow.
    pub table: usize,
    /// The version after which changes are asked for.
    pub after: u64,
}

impl TableQuestion {
    /// A question in the newest format.
    ///
    /// ```
    /// use citron_wire::relay::TableQuestion;
    /// let question = TableQuestion::new(0, 17);
    /// assert_eq!(question.to_string(), "/packed/0/17");
    /// assert_eq!("/packed/0/17".parse(), Ok(question));
    /// ```
    pub fn new(table: usize, after: u64) -> Self {
        Self {
            format: Format::Packed,
            table,
            after,
        }
    }

    /// The same in the format before, for an instance that does not know this one.
    pub fn older(self) -> Option<Self> {
        let format = self.format.older()?;
        Some(Self { format, ..self })
    }
}

impl fmt::Display for TableQuestion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "/{}/{}/{}", self.format.name(), self.table, self.after)
    }
}

impl FromStr for TableQuestion {
    type Err = ();

    fn from_str(path: &str) -> Result<Self, ()> {
        let parse = || {
            let (name, rest) = path.strip_prefix('/')?.split_once('/')?;
            let (table, after) = rest.split_once('/')?;
            let formats = [Format::Packed, Format::Plain];
            Some(Self {
                format: formats.into_iter().find(|format| format.name() == name)?,
                table: table.parse().ok()?,
                after: after.parse().ok()?,
            })
        };
        parse().ok_or(())
    }
}
