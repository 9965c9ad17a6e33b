//! Which service a request goes to, and what the operator allows for it.
//!
//! A configuration is taken whole, by its version; it never goes back.

mod cluster;
mod config;
mod rule;

pub use {
    cluster::Cluster,
    config::{ConfigVersion, ListenerLimits, RouteConfig},
    rule::{Idempotency, RouteRule, TrafficSplit},
};
