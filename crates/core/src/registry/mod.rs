//! Which backend servers there are, by what they write of themselves.

mod entry;
mod servers;

pub use {
    entry::{Evacuation, ServerEntry, ServerState},
    servers::{Known, Place, Registry, RegistryTimes, SendBounds},
};
