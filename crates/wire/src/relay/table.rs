//! A table as one instance hands it to another.

use {
    super::{AgeWire, Format, RelayError, TableRowWire, body},
    bytes::Bytes,
    serde::{Deserialize, Serialize},
};

/// The first byte of packed answers. It changes whenever they do, so that an instance
/// refuses what it would misread; new fields need a new number, too.
const PACKED_VERSION: u8 = 2;

/// What changes with each answer; never packed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeadWire {
    /// The version that the sender's questions to the store go on from.
    pub version: u64,
    /// Whether these are all rows there are. The sender has read them all after
    /// the version asked for, and does not know what was removed before that:
    /// with the changes alone, a server whose entry was removed would stay listed
    /// for the receiver and get requests for good.
    pub whole: bool,
    /// Version of the newest change.
    pub changed: u64,
    /// How old it is.
    pub age: AgeWire,
}

impl HeadWire {
    /// A packed answer: the format's number, this, and a body from
    /// [`BodyCache`](super::BodyCache).
    ///
    /// # Errors
    /// If it could not be written.
    pub fn encode_packed(&self, body: &[u8]) -> Result<Bytes, RelayError> {
        let mut bytes = postcard::to_extend(self, vec![PACKED_VERSION])?;
        bytes.extend_from_slice(body);
        Ok(bytes.into())
    }
}

/// What has changed in a table.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct TableWire {
    /// How new it is.
    pub head: HeadWire,
    /// The rows.
    pub rows: Vec<TableRowWire>,
}

impl TableWire {
    /// As [`Format::Plain`] has it.
    ///
    /// # Errors
    /// If it could not be written.
    pub fn encode_plain(&self) -> Result<Bytes, RelayError> {
        Ok(postcard::to_stdvec(self)?.into())
    }

    /// Reads an answer whose rows take `most` bytes at most. Which format it is in follows
    /// from the path that was asked; the first byte tells versions of the packed one apart.
    ///
    /// # Errors
    /// If it is of another version, too long or damaged.
    pub fn decode(format: Format, bytes: &[u8], max_bytes: usize) -> Result<Self, RelayError> {
        match format {
            Format::Plain => Ok(postcard::from_bytes(bytes)?),
            Format::Packed => decode_packed(bytes, max_bytes),
        }
    }
}

fn decode_packed(bytes: &[u8], max_bytes: usize) -> Result<TableWire, RelayError> {
    let empty = || RelayError::Malformed("it is empty".to_string());
    let (version, rest) = bytes.split_first().ok_or_else(empty)?;
    if *version != PACKED_VERSION {
        return Err(RelayError::UnsupportedFormat(*version));
    }
    let (head, body) = postcard::take_from_bytes(rest)?;
    let rows = body::decode(body, max_bytes)?;
    Ok(TableWire { head, rows })
}
