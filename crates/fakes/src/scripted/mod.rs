//! Fake backend servers on plain TCP sockets. Scripts define byte for byte what they read
//! and write, so that responses can be truncated, late or duplicated at any point.

mod server;
mod step;
mod upload;

pub use {server::ScriptedServer, step::Step, upload::upload_server};
