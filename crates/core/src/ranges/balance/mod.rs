//! Which keys should go from one server to another.

mod joins;
mod limits;
mod plan;
mod shifts;

pub use {
    limits::{BalanceLimits, Capacity, Shift},
    plan::Balance,
};
