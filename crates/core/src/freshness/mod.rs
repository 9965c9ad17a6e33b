//! How old an instance's copies of the store's tables are, and who polls the store.
//!
//! An open watch is no sign that nothing has changed: its response may have been lost. Each
//! table therefore has an age, which only a response resets. Instances advertise their ages to
//! each other, and one whose table is too old polls the store.

mod ages;
mod fetches;
mod health;
mod heartbeats;
mod holder;
mod lag;
mod staleness;
mod times;

pub use {
    ages::{Age, Freshness, StoreOutage},
    fetches::{Fetch, FetchTimes, Fetches},
    health::StoreHealth,
    heartbeats::{HEARTBEAT_TIMEOUT, HeartbeatSchedule, Sender},
    holder::HolderLiveness,
    lag::LagTimer,
    staleness::{Lag, StaleReason, Staleness, VersionTracker},
    times::{FreshnessTimes, PropagationTimes, Role},
};
