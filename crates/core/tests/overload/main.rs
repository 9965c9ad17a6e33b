//! Limits and retries under load, in virtual time.

mod clients;
mod limits;
mod outage;
mod scenario;
mod server;
mod simulation;
mod stats;
