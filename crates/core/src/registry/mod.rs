//! Which backend servers there are, by what they write of themselves.

mod entry;
mod servers;

pub use {
    entry::{ServerEntry, ServerState},
    servers::{Known, Place, Registry, RegistryTimes},
};
