//! Tables that one instance hands to another.

mod age;
mod body;
mod body_cache;
mod digest;
mod error;
mod query;
mod rows;
mod table;

pub use {
    age::AgeWire,
    body::PACK_FROM,
    body_cache::Packer,
    digest::Digest,
    error::RelayError,
    query::{Format, TableQuestion},
    rows::{Part, TableRowWire},
    table::{HeadWire, TableWire},
};
