//! Server in trouble, which sends bytes without end.

mod header_lines;
mod kind;
mod server;

pub use {header_lines::HeaderLines, kind::FloodKind, server::FloodServer};
