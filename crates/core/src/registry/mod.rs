//! Registry of backend servers, from the entries that they write to the store.

mod address_index;
mod bounds;
mod entry;
mod planned_owners;
mod restored;
mod server_record;
mod servers;
mod times;

pub use {
    bounds::SendBounds,
    entry::{Evacuation, ServerEntry, ServerState},
    planned_owners::PlannedOwners,
    server_record::{AddressClaim, ServerRecord},
    servers::{Registry, ServerList},
    times::RegistryTimes,
};
