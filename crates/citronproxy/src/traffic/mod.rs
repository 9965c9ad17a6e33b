//! The request path: hyper on both sides, one single-threaded runtime a thread.

mod answer;
mod ask;
mod body;
mod flights;
mod handle;
mod load;
mod phase;
mod pool;
mod proxy;
mod request;
mod worker;

pub use {
    handle::TrafficHandle,
    load::LoadSample,
    phase::Phase,
    worker::{Workers, start},
};
