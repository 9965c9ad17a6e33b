//! Rows as bytes, packed if that is worth it.

use {
    super::{RelayError, TableRowWire},
    bytes::Bytes,
    flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder},
    std::io::{Read, Write},
};

/// Shorter bodies are sent as they are: one or two packets either way.
pub const COMPRESS_MIN_BYTES: usize = 2 << 10;
/// How hard to pack, from 1 to 9.
const COMPRESSION_LEVEL: u32 = 4;

/// The first byte of a body that follows as it is.
const PLAIN: u8 = 0;
/// The first byte of a body that is packed by DEFLATE.
const DEFLATE: u8 = 1;

/// Writes rows.
pub(super) fn encode(rows: &[TableRowWire]) -> Result<Bytes, RelayError> {
    let plain = postcard::to_extend(rows, vec![PLAIN])?;
    if plain.len() < COMPRESS_MIN_BYTES {
        return Ok(plain.into());
    }
    let mut encoder = DeflateEncoder::new(vec![DEFLATE], Compression::new(COMPRESSION_LEVEL));
    encoder.write_all(&plain[1..])?;
    Ok(encoder.finish()?.into())
}

/// Reads rows that take `most` bytes at most, as bytes and in memory.
pub(super) fn decode(body: &[u8], max_bytes: usize) -> Result<Vec<TableRowWire>, RelayError> {
    match body.split_first() {
        Some((&PLAIN, plain)) => decode_rows(plain, max_bytes),
        Some((&DEFLATE, compressed)) => decode_rows(&decompress(compressed, max_bytes)?, max_bytes),
        Some((other, _)) => Err(RelayError::Malformed(format!("packed by {other}"))),
        None => Err(RelayError::Malformed("no rows".to_string())),
    }
}

/// Unpacks piece by piece: no length that the sender names is relied on.
fn decompress(compressed: &[u8], max_bytes: usize) -> Result<Vec<u8>, RelayError> {
    let mut plain = Vec::new();
    let mut decoder = DeflateDecoder::new(compressed).take(max_bytes as u64 + 1);
    decoder.read_to_end(&mut plain)?;
    Ok(plain)
}

fn decode_rows(plain: &[u8], max_bytes: usize) -> Result<Vec<TableRowWire>, RelayError> {
    // An empty row is three bytes, and many times that in memory.
    let (rows, _) = postcard::take_from_bytes::<usize>(plain)?;
    if plain.len() > max_bytes || rows > max_bytes / size_of::<TableRowWire>() {
        return Err(RelayError::TooLarge(max_bytes));
    }
    Ok(postcard::from_bytes(plain)?)
}
