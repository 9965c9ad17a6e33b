//! Time as the decisions see it.

mod instant;
mod store_clock;

pub use {
    instant::Time,
    store_clock::{StoreClock, StoreTime},
};
