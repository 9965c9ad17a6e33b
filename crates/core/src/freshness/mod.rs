//! How old an instance's copies of the store's tables are, and who polls the store.
//!
//! An open watch is no sign that nothing has changed: its response may have been lost. Each
//! table therefore has an age, which only a response resets. Instances advertise their ages to
//! each other, and one whose table is too old polls the store.

mod beats;
mod book;
mod fetches;
mod health;
mod lag;
mod silence;
mod standing;
mod times;

pub use {
    beats::{HeartbeatSchedule, LOST, Sender},
    book::{Age, Freshness, StoreOutage},
    fetches::{Fetch, FetchTimes, Fetches},
    health::StoreHealth,
    lag::LagTimer,
    silence::HolderSilence,
    standing::{Doubt, Lag, Standing, VersionTracker},
    times::{FreshnessTimes, PropagationTimes, Role},
};
