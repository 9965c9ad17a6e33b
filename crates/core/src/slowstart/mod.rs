//! Limit on the requests that backend servers get while they are cold.
//!
//! A cold server crashes above a request rate that counts over all instances. There is no
//! shared counter: which instances may send to a server, and how many requests each,
//! follows from names that all instances know.

mod group;
mod limit;
mod limiter;

pub use {
    group::{GroupMembers, SlowStartGroup},
    limit::{ColdBound, SlowStart},
    limiter::{COLD_WINDOW, SlowStartLimiter},
};
