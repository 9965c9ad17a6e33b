//! A backend server on raw sockets: it breaks off, answers late, twice or in
//! part, wherever its script says.

mod act;
mod drain;
mod server;

pub use {act::Act, drain::drain_server, server::RawServer};
