//! The operators' API of an instance: HTTP and JSON on a listener of its own,
//! served on the control thread. `docs/ADMIN-API.md` lists the calls.

mod auth;
mod editor;
mod error;
mod inspect;
mod response;
mod routes;
mod server;
mod state;

pub use {
    error::AdminError,
    server::{AdminListener, serve},
    state::{AdminApi, ControlView},
};
