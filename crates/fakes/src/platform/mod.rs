//! Fake platform: table, object store and instance list over HTTP, with configurable
//! faults.

mod faults;
mod server;

pub use {
    faults::{FaultSettings, Faults},
    server::PlatformServer,
};
