//! How much work goes to a backend server, and whose.

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
    chain::{Ask, Guards, TryEnd},
    controller::{Admission, Gate, GateConfig, Turn},
    demand_tracker::{DemandBook, Part},
    limit::{LimitConfig, Release, ServerLimit},
    operator_limiter::OperatorRoom,
    queue::{Ticket, WaitQueue},
    rate::{Rate, RateCap},
    share::{Demand, SlotShare, even_share, shares},
    warmup::Warmup,
};
