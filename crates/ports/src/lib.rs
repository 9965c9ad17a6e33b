//! What lies outside: the platform's table, object store and instance list, and
//! the grants that backend servers take. Small traits, and their clients.

mod error;
mod grants;
mod http;
mod lane;
mod listed;
mod memory;
mod objects;
mod raw;
mod servers;
mod store;

pub use {
    error::PlatformError,
    grants::Grants,
    http::HttpPlatform,
    lane::LaneStore,
    listed::{InstanceList, Listed, ListedState},
    memory::Memory,
    objects::ObjectStore,
    raw::TableService,
    servers::{HttpServers, Probe, Probes},
    store::{HistoryEntry, TableStore},
};
