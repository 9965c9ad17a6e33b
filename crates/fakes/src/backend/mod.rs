//! A backend server: slots, fenced grants, and a record of all that it ran.

mod execution;
mod fence;
mod server;

pub use {
    execution::{Execution, ExecutionLog},
    fence::Fence,
    server::{BackendConfig, BackendServer},
};
