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
    batch::CommitBatch,
    config::ControlConfig,
    error::ControlError,
    loads::Loads,
    metrics::ControlMetrics,
    move_driver::MoveDriver,
    node::{CommitResult, Node},
    probing::Health,
    replica::Replica,
    thread::Control,
};

use {
    probing::ACTIVE_RANKS,
    releasing::ReleasingScopes,
    reporting::PeerReports,
    server_tasks::ServerTasks,
    tracked_move::{ScopeKey, TaskResult, TrackedMove},
};
