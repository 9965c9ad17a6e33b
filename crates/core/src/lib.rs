//! Decisions of citronproxy, without clock, socket, thread or unseeded randomness.
//!
//! Every aggregate is driven by events and a [`time::Time`] and answers with
//! actions, so that the processes, the model checker and the tests run the very
//! same code.

pub mod admission;
pub mod crash;
pub mod dispatch;
pub mod freshness;
pub mod health;
pub mod id;
pub mod membership;
pub mod ownership;
pub mod placement;
pub mod ranges;
pub mod registry;
pub mod routes;
pub mod routing;
pub mod slo;
pub mod slowstart;
pub mod table;
pub mod time;
