//! Fakes of the systems around citronproxy, for tests and manual runs: the deployment
//! platform, backend servers, and network links with faults.

pub mod backend;
pub mod flood;
pub mod link;
pub mod platform;
pub mod query;
pub mod scripted;

mod http;
