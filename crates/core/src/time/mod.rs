//! Time on the monotonic clock of a process and on the store's clock.

mod instant;
mod store_clock;

pub use {
    instant::Time,
    store_clock::{StoreClock, StoreTime},
};
