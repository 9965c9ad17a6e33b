//! An instance of citronproxy: a control thread, and traffic threads that route requests
//! by the snapshots that it publishes.

pub mod admin;
pub mod clock;
pub mod control;
pub mod dev;
pub mod edge;
pub mod events;
pub mod lifecycle;
pub mod logs;
mod metrics;
pub mod peer;
pub mod settings;
pub mod slo;
pub mod traffic;
