//! Admin API of an instance: HTTP and JSON on a separate listener, served on the control
//! thread. `docs/ADMIN-API.md` lists the requests.

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
