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
    body::COMPRESS_MIN_BYTES,
    body_cache::BodyCache,
    digest::Digest,
    error::RelayError,
    query::{Format, TableQuery},
    rows::{RowSelection, TableRowWire},
    table::{HeadWire, TableWire},
};
