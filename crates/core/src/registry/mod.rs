//! Which backend servers there are, by what they write of themselves.

mod address_index;
mod bounds;
mod entry;
mod server_record;
mod servers;
mod times;

pub use {
    bounds::SendBounds,
    entry::{Evacuation, ServerEntry, ServerState},
    server_record::{AddressClaim, ServerRecord},
    servers::{Registry, ServerList},
    times::RegistryTimes,
};
