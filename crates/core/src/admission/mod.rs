//! How much work goes to a backend server, and whose.

mod fair;
mod gate;
mod limit;
mod queue;
mod rate;
mod share;
mod warmup;

pub use {
    fair::OperatorRoom,
    gate::{Admission, Gate, GateConfig, Turn},
    limit::{LimitConfig, Release, ServerLimit},
    queue::{Ticket, WaitQueue},
    rate::{Rate, RateCap},
    share::{SlotShare, even_share, shares},
    warmup::Warmup,
};
