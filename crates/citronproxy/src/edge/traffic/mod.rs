//! The traffic thread: forwards clients' requests to backend servers.

mod active_request;
mod attempt;
mod concurrency;
mod crash;
mod denial;
mod detour;
mod handler;
mod idle_limits;
mod permit;
mod pooled_connection;
mod readiness;
mod request_log;
mod request_scope;
mod response;
mod sent_mark;
mod slot;
mod target;
mod thread;

pub use thread::{PlatformNames, run};
