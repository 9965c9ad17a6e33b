//! The control thread: follows the table, publishes what traffic routes by,
//! grants, and moves scopes between backend servers.

mod admin_view;
mod batch;
mod config;
mod error;
mod follower;
mod granting;
mod loads;
mod membership;
mod metrics;
mod move_driver;
mod node;
mod planning;
mod probing;
mod releasing;
mod replica;
mod reporting;
mod server_tasks;
mod thread;
mod tracked_move;

pub use {
    batch::Batch,
    config::ControlConfig,
    error::ControlError,
    loads::Loads,
    metrics::ControlMetrics,
    move_driver::Moves,
    node::{Committed, Node},
    probing::Health,
    replica::Replica,
    thread::Control,
};

use {
    probing::WATCHERS,
    releasing::Releases,
    reporting::Exchange,
    server_tasks::Tasks,
    tracked_move::{Driven, Heard, ScopeKey},
};
