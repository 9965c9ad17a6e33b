//! How much work goes to a backend server, and whose.

mod book;
mod fair;
mod gate;
mod guards;
mod limit;
mod queue;
mod rate;
mod share;
mod warmup;

pub use {
    book::{DemandBook, Part},
    fair::OperatorRoom,
    gate::{Admission, Gate, GateConfig, Turn},
    guards::{Ask, Guards, TryEnd},
    limit::{LimitConfig, Release, ServerLimit},
    queue::{Ticket, WaitQueue},
    rate::{Rate, RateCap},
    share::{Demand, SlotShare, even_share, shares},
    warmup::Warmup,
};
