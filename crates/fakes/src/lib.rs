//! Stand-ins for the systems around citronproxy, for tests and trials.

pub mod backend;
pub mod link;
pub mod platform;
pub mod scripted;

mod http;
