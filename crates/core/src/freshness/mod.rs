//! Freshness of an instance's copies of the store's tables, and which instance polls the
//! store.
//!
//! A pending watch does not prove that nothing has changed, because its response may have
//! been lost. Each table therefore has an age, which only a response resets. Instances
//! advertise the ages of their tables to each other, and an instance whose table is too
//! old polls the store.

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
    holder::{HolderLiveness, HolderReport},
    lag::LagTimer,
    staleness::{Lag, REWRITE_TIME, StaleReason, Staleness, VersionTracker},
    times::{FreshnessTimes, PropagationTimes, Role},
};
