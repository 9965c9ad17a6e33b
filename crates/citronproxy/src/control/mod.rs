//! The control thread: follows the table, publishes routing snapshots to the traffic
//! threads, sends grants to backend servers, and moves scopes between them.

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
