//! The control thread: follows the table, publishes what traffic routes by,
//! grants, and moves scopes between backend servers.

mod batch;
mod config;
mod driven;
mod error;
mod exchanging;
mod follower;
mod granting;
mod listing;
mod loads;
mod metrics;
mod moving;
mod node;
mod planning;
mod probing;
mod releases;
mod replica;
mod tasks;
mod thread;
mod view;

pub use {
    batch::Batch,
    config::ControlConfig,
    error::ControlError,
    loads::Loads,
    metrics::ControlMetrics,
    moving::Moves,
    node::{Committed, Node},
    probing::Health,
    replica::Replica,
    thread::Control,
};

use {
    driven::{Driven, Heard, ScopeKey},
    exchanging::Exchange,
    probing::WATCHERS,
    releases::Releases,
    tasks::Tasks,
};
