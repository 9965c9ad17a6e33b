//! Which backend servers there are, by what they write of themselves.

mod bounds;
mod entry;
mod index;
mod known;
mod servers;
mod times;

pub use {
    bounds::SendBounds,
    entry::{Evacuation, ServerEntry, ServerState},
    known::{Known, Place},
    servers::{Registry, ServerList},
    times::RegistryTimes,
};
