//! Fake backend server with a limited number of slots, fenced grants, and a log of the
//! requests that it executed.

mod execution;
mod fence;
mod server;

pub use {
    execution::{Execution, ExecutionLog},
    fence::Fence,
    server::{BackendConfig, BackendServer},
};
