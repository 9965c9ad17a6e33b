//! Relay of tables: an instance fetches a table from another instance instead of from the
//! store.

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
