//! What lies outside: the platform's table, object store and instance list, and
//! the grants that backend servers take. Small traits, and their clients.

mod adapter;
mod error;
mod grants;
mod http;
mod kept;
mod lane;
mod listed;
mod memory;
mod objects;
mod raw;
mod rows;
mod servers;
mod store;
mod tables;

pub use {
    adapter::{Adapter, DecodeError, HeaderNames},
    error::PlatformError,
    grants::Grants,
    http::HttpPlatform,
    kept::{CallError, IdleTimeout, KeptClient, ReadTimeout},
    lane::LaneStore,
    listed::{InstanceList, Listed, ListedState},
    memory::Memory,
    objects::ObjectStore,
    raw::TableService,
    rows::{Row, RowCommit, RowSet, RowStore, RowTable, StoreError},
    servers::{HttpServers, Probe, Probes},
    store::{HistoryEntry, TableStore},
    tables::{TableAnswer, fetch_table},
};
