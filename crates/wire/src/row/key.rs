//! Text form of row keys.

use {
    crate::{
        WireError,
        error::{invalid_value, parse_field},
    },
    citron_core::table::{BlockId, RowKey},
};

const KEY_FORMS: &str = "service/NAME, server/NAME, domain/NAME, instance/ID, block/SERVICE/NUMBER, override/SERVICE/HASH";

/// Parses the text form of a [`RowKey`], as its `Display` writes it.
///
/// ```
/// let key = citron_wire::row::parse_row_key("block/balances/3").unwrap();
/// assert_eq!(key.to_string(), "block/balances/3");
/// assert!(citron_wire::row::parse_row_key("nonsense").is_err());
/// ```
///
/// # Errors
/// [`WireError`] if the text does not have a known form.
pub fn parse_row_key(text: &str) -> Result<RowKey, WireError> {
    let parts: Vec<&str> = text.split('/').collect();
    Ok(match parts.as_slice() {
        ["service", name] => RowKey::Service(parse_field("key", name)?),
        ["server", name] => RowKey::Server(parse_field("key", name)?),
        ["domain", name] => RowKey::Domain(parse_field("key", name)?),
        ["instance", id] => RowKey::Instance(parse_field("key", id)?),
        ["block", service, block] => {
            RowKey::Block(parse_field("key", service)?, parse_block_id(block)?)
        }
        ["override", service, key] => {
            RowKey::Override(parse_field("key", service)?, parse_field("key", key)?)
        }
        _ => return Err(invalid_value("key", text, KEY_FORMS)),
    })
}

fn parse_block_id(text: &str) -> Result<BlockId, WireError> {
    let number = text
        .parse()
        .map_err(|_| invalid_value("key", text, "a block number"))?;
    Ok(BlockId(number))
}
