//! Encoding of rows, with compression of long bodies.

use {
    super::{RelayError, TableRowWire},
    bytes::Bytes,
    flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder},
    std::io::{Read, Write},
};

/// Smallest size of a body that is compressed, in bytes. A shorter one takes one or two
/// packets either way.
pub const COMPRESS_MIN_BYTES: usize = 2 << 10;
/// DEFLATE compression level, 1 to 9.
const COMPRESSION_LEVEL: u32 = 4;

/// First byte of an uncompressed body.
const PLAIN: u8 = 0;
/// First byte of a body compressed by DEFLATE.
const DEFLATE: u8 = 1;

/// Encodes rows, compressed if they are long.
pub(super) fn encode(rows: &[TableRowWire]) -> Result<Bytes, RelayError> {
    let plain = postcard::to_extend(rows, vec![PLAIN])?;
    if plain.len() < COMPRESS_MIN_BYTES {
        return Ok(plain.into());
    }
    let mut encoder = DeflateEncoder::new(vec![DEFLATE], Compression::new(COMPRESSION_LEVEL));
    encoder.write_all(&plain[1..])?;
    Ok(encoder.finish()?.into())
}

/// Decodes rows that take at most `max_bytes`, both uncompressed and in memory.
pub(super) fn decode(body: &[u8], max_bytes: usize) -> Result<Vec<TableRowWire>, RelayError> {
    match body.split_first() {
        Some((&PLAIN, plain)) => decode_rows(plain, max_bytes),
        Some((&DEFLATE, compressed)) => decode_rows(&decompress(compressed, max_bytes)?, max_bytes),
        Some((other, _)) => Err(RelayError::Malformed(format!(
            "unknown compression {other}"
        ))),
        None => Err(RelayError::Malformed("missing body".to_string())),
    }
}

/// Decompresses up to one byte more than the limit. It does not rely on any length given by
/// the sender.
fn decompress(compressed: &[u8], max_bytes: usize) -> Result<Vec<u8>, RelayError> {
    let mut plain = Vec::new();
    let mut decoder = DeflateDecoder::new(compressed).take(max_bytes as u64 + 1);
    decoder.read_to_end(&mut plain)?;
    Ok(plain)
}

fn decode_rows(plain: &[u8], max_bytes: usize) -> Result<Vec<TableRowWire>, RelayError> {
    // An empty row takes three bytes here, but many times that in memory.
    let (rows, _) = postcard::take_from_bytes::<usize>(plain)?;
    if plain.len() > max_bytes || rows > max_bytes / size_of::<TableRowWire>() {
        return Err(RelayError::TooLarge(max_bytes));
    }
    Ok(postcard::from_bytes(plain)?)
}
