//! Which backend server a request goes to now, and when it is better told to
//! come back.

mod book;
mod choice;
mod idle;
mod load;
mod pace;
mod told;

pub use {
    book::{LoadBook, PeerLoad},
    choice::{Candidate, Decision, RejectReason, TimeLimits, choose, sample_size},
    idle::IdleTrust,
    load::{Finish, ServerLoad, run_share},
    pace::{PROMPT, Pace, Speed},
    told::{ToldLoad, ToldLoadError},
};
