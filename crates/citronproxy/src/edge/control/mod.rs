//! The control thread: the store, other instances, and the planner.

mod arrival;
mod codec;
mod counts;
mod demands;
mod election;
mod gossip;
mod intake;
mod keys;
mod members;
mod mirror;
mod moves;
mod node;
mod peers;
mod planner;
mod refresh;
mod relay;
mod watch;

pub use node::run;
