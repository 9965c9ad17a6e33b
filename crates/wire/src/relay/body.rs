//! Rows as bytes, packed if that is worth it.

use {
    super::{RelayError, TableRowWire},
    bytes::Bytes,
    flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder},
    std::io::{Read, Write},
};

/// Shorter bodies are sent as they are: one or two packets either way.
pub const PACK_FROM: usize = 2 << 10;
/// How hard to pack, from 1 to 9.
const LEVEL: u32 = 4;

/// The first byte of a body that follows as it is.
const PLAIN: u8 = 0;
/// The first byte of a body that is packed by DEFLATE.
const DEFLATE: u8 = 1;

/// Writes rows.
pub(super) fn write(rows: &[TableRowWire]) -> Result<Bytes, RelayError> {
    let plain = postcard::to_extend(rows, vec![PLAIN])?;
    if plain.len() < PACK_FROM {
        return Ok(plain.into());
    }
    let mut encoder = DeflateEncoder::new(vec![DEFLATE], Compression::new(LEVEL));
    encoder.write_all(&plain[1..])?;
    Ok(encoder.finish()?.into())
}

/// Reads rows that take `most` bytes at most, as bytes and in memory.
pub(super) fn read(body: &[u8], most: usize) -> Result<Vec<TableRowWire>, RelayError> {
    match body.split_first() {
        Some((&PLAIN, plain)) => parse(plain, most),
        Some((&DEFLATE, packed)) => parse(&unpack(packed, most)?, most),
        Some((other, _)) => Err(RelayError::Damaged(format!("packed by {other}"))),
        None => Err(RelayError::Damaged("no rows".to_string())),
    }
}

/// Unpacks piece by piece: no length that the sender names is relied on.
fn unpack(packed: &[u8], most: usize) -> Result<Vec<u8>, RelayError> {
    let mut plain = Vec::new();
    let mut decoder = DeflateDecoder::new(packed).take(most as u64 + 1);
    decoder.read_to_end(&mut plain)?;
    Ok(plain)
}

fn parse(plain: &[u8], most: usize) -> Result<Vec<TableRowWire>, RelayError> {
    // An empty row is three bytes, and many times that in memory.
    let (rows, _) = postcard::take_from_bytes::<usize>(plain)?;
    if plain.len() > most || rows > most / size_of::<TableRowWire>() {
        return Err(RelayError::TooLong(most));
    }
    Ok(postcard::from_bytes(plain)?)
}
