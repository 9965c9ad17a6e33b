//! Encoding of a table in a response to another instance.

use {
    super::{AgeWire, Format, RelayError, TableRowWire, body},
    bytes::Bytes,
    serde::{Deserialize, Serialize},
};

/// Version of the packed format, the first byte of packed responses. Every change of the
/// format needs a new version, also an added field, so that an instance rejects a response
/// that it would decode wrongly.
const PACKED_VERSION: u8 = 2;

/// Header of a response. It differs between responses with the same rows, so it is never
/// compressed or cached.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeadWire {
    /// Version from which the sender continues to poll the store.
    pub version: u64,
    /// Whether the response holds all rows. That is so if the sender last read all rows at
    /// a later version than the requested one, and therefore does not know which rows were
    /// removed before. With the changes alone, the receiver would keep a server whose entry
    /// was removed, and send requests to it indefinitely.
    pub whole: bool,
    /// Version of the newest change.
    pub changed: u64,
    /// Age of the table.
    pub age: AgeWire,
}

impl HeadWire {
    /// Encodes a packed response: the version of the format, this header, and a body from
    /// [`BodyCache`](super::BodyCache).
    ///
    /// # Errors
    /// [`RelayError`] if the header cannot be encoded.
    pub fn encode_packed(&self, body: &[u8]) -> Result<Bytes, RelayError> {
        let mut bytes = postcard::to_extend(self, vec![PACKED_VERSION])?;
        bytes.extend_from_slice(body);
        Ok(bytes.into())
    }
}

/// Rows of a table, all or only the changed ones, with their header.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct TableWire {
    /// Header with the versions and the age of the table.
    pub head: HeadWire,
    /// The rows.
    pub rows: Vec<TableRowWire>,
}

impl TableWire {
    /// Encodes the table in [`Format::Plain`].
    ///
    /// # Errors
    /// [`RelayError`] if the table cannot be encoded.
    pub fn encode_plain(&self) -> Result<Bytes, RelayError> {
        Ok(postcard::to_stdvec(self)?.into())
    }

    /// Decodes a response whose rows take at most `max_bytes`. The requested path
    /// determines the format; the first byte of a packed response is the format's version.
    ///
    /// # Errors
    /// [`RelayError`] if the version is not supported, or the response too large or
    /// malformed.
    pub fn decode(format: Format, bytes: &[u8], max_bytes: usize) -> Result<Self, RelayError> {
        match format {
            Format::Plain => Ok(postcard::from_bytes(bytes)?),
            Format::Packed => decode_packed(bytes, max_bytes),
        }
    }
}

fn decode_packed(bytes: &[u8], max_bytes: usize) -> Result<TableWire, RelayError> {
    let empty = || RelayError::Malformed("empty response".to_string());
    let (version, rest) = bytes.split_first().ok_or_else(empty)?;
    if *version != PACKED_VERSION {
        return Err(RelayError::UnsupportedFormat(*version));
    }
    let (head, body) = postcard::take_from_bytes(rest)?;
    let rows = body::decode(body, max_bytes)?;
    Ok(TableWire { head, rows })
}
