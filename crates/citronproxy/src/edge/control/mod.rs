//! Control thread: follows the store, exchanges state with other instances, and runs the
//! planner.

mod apply;
mod codec;
mod controller;
mod demand;
mod election;
mod heartbeat;
mod key_report;
mod members;
mod metrics;
mod moves;
mod peers;
mod permits;
mod planner;
mod reach;
mod refresh;
mod relay;
mod replica;
mod slots;
mod statements;
mod transfer;
mod watch;

pub use controller::run;
