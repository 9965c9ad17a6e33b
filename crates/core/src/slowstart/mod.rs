//! How many requests backend servers get while they are cold.
//!
//! A cold server crashes above a rate that counts over all instances together. There is
//! no common counter: which instances may send to it, and how many requests each, follows
//! from names that all of them know.

mod group;
mod limit;
mod limiter;

pub use {
    group::{GroupMembers, SlowStartGroup},
    limit::{ColdBound, SlowStart},
    limiter::{COLD_WINDOW, SlowStartLimiter},
};
