//! Which service a request goes to, and what the operator allows for it.
//!
//! A configuration is taken whole, by its version; it never goes back.

mod rule;
mod service;
mod table;

pub use {
    rule::{Repeat, Rule, Split},
    service::Cluster,
    table::{ConfigVersion, ListenerLimits, RouteConfig},
};
