//! Calls between instances by capnp-rpc, all on the control thread.

mod client;
mod error;
mod host;
mod server;

pub use {client::Peers, error::PeerError, host::PeerHost, server::serve};
