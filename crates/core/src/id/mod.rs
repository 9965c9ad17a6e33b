//! Identifiers: names, numbers and hashes of keys.

mod error;
mod key;
mod name;
mod number;
mod server;
mod store_version;

pub(crate) use key::parse_hash;

pub use {
    error::ParseIdError,
    key::{KeyHash, ShardBits, ShardId},
    name::{DomainName, InstanceId, OperatorName, ServiceName},
    number::{CommitId, Epoch, Incarnation, Revision, Slots, StartTime, StoreEra, Weight},
    server::ServerName,
    store_version::StoreVersion,
};
