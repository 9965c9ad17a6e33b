//! Servers and connections that do not behave, found by own measurements.

mod config;
mod connections;
mod load;
mod pool;
mod server;

pub use {
    config::HealthConfig,
    connections::{Blame, Kept, Links, silence_after},
    load::ServerLoad,
    pool::PoolHealth,
    server::{Check, ServerHealth},
};
