//! Servers and connections that do not behave, found by own measurements.

mod config;
mod connections;
mod load;
mod pool;
mod server;

pub use {
    config::HealthConfig,
    connections::{ConnectionAge, ConnectionHealth, SilenceCause, silence_timeout},
    load::MeasuredLoad,
    pool::PoolHealth,
    server::{HealthDecision, ServerHealth},
};
