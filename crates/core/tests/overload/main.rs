//! Limits and retries under load, in virtual time.

mod bench;
mod limits;
mod outage;
mod stats;
