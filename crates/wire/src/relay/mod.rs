//! Tables that one instance hands to another.

mod age;
mod answer;
mod body;
mod digest;
mod error;
mod packer;
mod question;
mod rows;

pub use {
    age::AgeWire,
    answer::{HeadWire, TableWire},
    body::PACK_FROM,
    digest::Digest,
    error::RelayError,
    packer::Packer,
    question::{Format, TableQuestion},
    rows::{Part, TableRowWire},
};
