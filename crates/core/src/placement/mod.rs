//! Which backend server should own which shard.
//!
//! Nothing moves without a reason: an owner that is lost or leaving, or an
//! imbalance that has lasted. A lost owner's shards go by weighted rendezvous
//! hashing with bounded load; balance takes the fewest shards that help.

mod board;
mod budget;
mod hot;
mod load;
mod planner;
mod score;
mod view;

pub use {
    budget::Budget,
    hot::{HotChange, HotKeys, HotLimits},
    load::Load,
    planner::{Planner, PlannerLimits, Proposal, Reason},
    view::{Candidate, ScopeLoad, View, warmth},
};
