//! Placement of shards and hot keys on backend servers.
//!
//! Scopes move only if their owner is lost or leaving, or if an imbalance has lasted. The
//! scopes of a lost owner are placed by weighted rendezvous hashing with bounded loads;
//! balancing moves as few scopes as it needs.

mod draft;
mod hot_keys;
mod load;
mod planner;
mod rendezvous;
mod service_view;
mod token_bucket;

pub use {
    hot_keys::{HotKeyChange, HotKeyLimits, HotKeyTracker},
    load::Load,
    planner::{MoveReason, Planner, PlannerLimits, Proposal},
    service_view::{Candidate, ScopeLoad, ServiceView, warmup_percent},
    token_bucket::TokenBucket,
};
