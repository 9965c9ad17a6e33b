//! Limits and retries under load, in virtual time.

mod bench;
mod callers;
mod limits;
mod outage;
mod plan;
mod server;
mod stats;
