//! Time as the decisions see it.

mod instant;
mod store;

pub use {
    instant::Time,
    store::{StoreClock, StoreTime},
};
