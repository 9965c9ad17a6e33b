//! Routing configuration: routes, clusters and listener limits that the operator sets.
//!
//! A configuration is applied as a whole. Its version never decreases.

mod cluster;
mod config;
mod rule;

pub use {
    cluster::Cluster,
    config::{ConfigVersion, ListenerLimits, RouteConfig},
    rule::{Idempotency, RouteRule, TrafficSplit},
};
