//! A backend server: slots, fenced grants, and a record of all that it ran.

mod fence;
mod record;
mod server;

pub use {
    fence::Fence,
    record::{Run, Runs},
    server::{BackendConfig, BackendServer},
};
