//! The request path: hyper on both sides, one single-threaded runtime a thread.

mod answer;
mod body;
mod handle;
mod pool;
mod proxy;
mod request;
mod worker;

pub use {
    handle::TrafficHandle,
    worker::{Workers, start},
};
