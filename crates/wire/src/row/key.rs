//! Row keys as text.

use {
    crate::{
        WireError,
        error::{parse, value_error},
    },
    citron_core::table::{BlockId, RowKey},
};

const FORMS: &str = "service/NAME, server/NAME, domain/NAME, instance/ID, block/SERVICE/NUMBER, override/SERVICE/HASH";

/// Reads a key as [`RowKey`] displays it.
///
/// ```
/// let key = citron_wire::row::parse_row_key("block/balances/3").unwrap();
/// assert_eq!(key.to_string(), "block/balances/3");
/// assert!(citron_wire::row::parse_row_key("nonsense").is_err());
/// ```
///
/// # Errors
/// [`WireError`] if the text has none of the known forms.
pub fn parse_row_key(text: &str) -> Result<RowKey, WireError> {
    let parts: Vec<&str> = text.split('/').collect();
    Ok(match parts.as_slice() {
        ["service", name] => RowKey::Service(parse("key", name)?),
        ["server", name] => RowKey::Server(parse("key", name)?),
        ["domain", name] => RowKey::Domain(parse("key", name)?),
        ["instance", id] => RowKey::Instance(parse("key", id)?),
        ["block", service, block] => RowKey::Block(parse("key", service)?, parse_block(block)?),
        ["override", service, key] => RowKey::Override(parse("key", service)?, parse("key", key)?),
        _ => return Err(value_error("key", text, FORMS)),
    })
}

fn parse_block(text: &str) -> Result<BlockId, WireError> {
    let number = text
        .parse()
        .map_err(|_| value_error("key", text, "a block number"))?;
    Ok(BlockId(number))
}
