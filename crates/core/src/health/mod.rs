//! Detection of failing servers and dead connections from measurements of this instance.

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
