//! Admission control: how many requests each backend server gets, and whose.

mod chain;
mod controller;
mod demand_tracker;
mod limit;
mod operator_limiter;
mod queue;
mod rate;
mod share;
mod warmup;

pub use {
    chain::{AdmissionChain, AttemptEnd, AttemptRequest},
    controller::{Admission, AdmissionConfig, AdmissionController, QueueDecision},
    demand_tracker::{DemandTracker, ServerQuota},
    limit::{LimitConfig, ReleaseReason, ServerLimit},
    operator_limiter::OperatorLimiter,
    queue::{Ticket, WaitQueue},
    rate::{Rate, RateLimiter},
    share::{Demand, SlotShare, even_share, shares},
    warmup::Warmup,
};
