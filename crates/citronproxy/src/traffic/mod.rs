//! The request path: hyper as server and as client, with a single-threaded runtime on
//! each traffic thread.

mod attempts;
mod buffer_budget;
mod command;
pub(crate) mod connection;
mod crash_log;
mod deadline;
mod driver;
mod exchange;
pub(crate) mod guard;
mod handle;
mod in_flight;
mod limiters;
mod limits;
mod load;
mod local_response;
pub(crate) mod metrics;
mod phase;
mod pipelined;
pub(crate) mod pool;
mod proxy;
pub(crate) mod request;
pub(crate) mod request_body;
pub(crate) mod response_body;
mod route_wait;
mod slo_counters;
pub(crate) mod socket;
mod state;
mod target;
mod worker;

pub use {
    buffer_budget::{BufferBudget, Reservation},
    crash_log::CrashEvent,
    deadline::HEADER_TIMEOUT,
    handle::TrafficHandle,
    limits::Limits,
    load::LoadSample,
    phase::Phase,
    worker::{Workers, start, start_with_limits},
};
