//! The platform's table, object store and instance list over HTTP, with outages.

mod faults;
mod server;

pub use {
    faults::{FaultSettings, Faults},
    server::PlatformServer,
};
