//! Calls between instances over capnp-rpc. All of them run on the control thread.

mod client;
mod error;
mod handler;
mod server;

pub use {client::PeerClient, error::PeerError, handler::PeerHandler, server::serve};
