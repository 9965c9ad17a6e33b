//! A network link that can be cut: a TCP relay between two processes.

mod relay;

pub use relay::Link;
