//! A backend server on raw sockets: it breaks off, answers late, twice or in
//! part, wherever its script says.

mod server;
mod step;
mod upload;

pub use {server::ScriptedServer, step::Step, upload::upload_server};
