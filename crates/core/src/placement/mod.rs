//! Which backend server should own which shard.
//!
//! Nothing moves without a reason: an owner that is lost or leaving, or an
//! imbalance that has lasted. A lost owner's shards go by weighted rendezvous
//! hashing with bounded load; balance takes the fewest shards that help.

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
