//! The request path: hyper on both sides, one single-threaded runtime a thread.

mod answer;
mod ask;
mod body;
mod burn;
mod call;
pub(crate) mod connection;
mod crashes;
mod deadline;
mod early;
mod exchange;
mod flights;
mod gates;
pub(crate) mod guard;
mod handle;
mod limits;
mod load;
pub(crate) mod metrics;
mod owner;
mod phase;
pub(crate) mod pool;
mod proxy;
pub(crate) mod request;
mod state;
mod target;
mod tries;
pub(crate) mod upload;
mod wire;
mod worker;

pub use {
    crashes::CrashNote,
    deadline::HEADER_TIMEOUT,
    handle::TrafficHandle,
    limits::Limits,
    load::LoadSample,
    phase::Phase,
    worker::{Workers, start, start_with},
};
