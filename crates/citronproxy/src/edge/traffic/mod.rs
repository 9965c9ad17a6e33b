//! The traffic thread: callers on one side, backend servers on the other.

mod answer;
mod call;
mod crash;
mod denial;
mod exchange;
mod front;
mod hold;
mod idles;
mod paces;
mod proxy;
mod ready;
mod target;

pub use front::{Names, run};
