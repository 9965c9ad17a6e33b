//! The control thread: the store, other instances, and the planner.

mod beat;
mod chair;
mod codec;
mod counts;
mod demands;
mod gossip;
mod intake;
mod mirror;
mod node;
mod orders;
mod peers;
mod planner;
mod relay;
mod watch;

pub use node::run;
