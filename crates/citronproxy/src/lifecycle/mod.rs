//! Lifecycle of an instance, from serving to a graceful exit.

mod machine;
mod run;

pub use {
    machine::{Lifecycle, LifecycleEvent},
    run::{LEAVE_GRACE, run},
};
