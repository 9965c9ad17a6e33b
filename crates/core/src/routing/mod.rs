//! From a request to the backend server that owns its key.

mod map;
mod outcome;
mod snapshot;

pub use {
    map::{Route, RouteMap, ServerIndex, ServiceRoutes},
    outcome::Outcome,
    snapshot::Snapshot,
};
