//! Server in trouble, which sends bytes without end.

mod kind;
mod server;

pub use {
    kind::{FloodKind, HeaderLines},
    server::FloodServer,
};
