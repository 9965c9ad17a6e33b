//! Which backend server a request goes to now, and when it is better told to
//! come back.

mod concurrency;
mod idle_limit;
mod load;
mod load_tracker;
mod reported_load;
mod select;

pub use {
    concurrency::{PROMPT, Pace, Speed},
    idle_limit::IdleTrust,
    load::{Finish, ServerLoad, run_share},
    load_tracker::{LoadBook, PeerLoad},
    reported_load::{ToldLoad, ToldLoadError},
    select::{Candidate, Decision, RejectReason, TimeLimits, choose, sample_size},
};
