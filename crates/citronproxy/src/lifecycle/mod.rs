//! From the start to a graceful exit.

mod machine;
mod run;

pub use {
    machine::{Change, Lifecycle},
    run::{LEAVE_TIME, run},
};
