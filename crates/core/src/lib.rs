//! Decision logic of citronproxy, without clocks, sockets, threads or unseeded
//! randomness.
//!
//! Every component takes events and a [`time::Time`] and returns actions, so that
//! production processes, the model checker and the tests run the same code.

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
pub mod request;
pub mod routes;
pub mod routing;
pub mod slo;
pub mod slots;
pub mod slowstart;
pub mod table;
pub mod time;
