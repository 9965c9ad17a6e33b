//! An instance whose configuration and servers come from an outside platform,
//! and whose keys are an ordered space that servers hold by lease.
//!
//! One control thread follows the store, talks with other instances and, on one
//! of them, plans who owns which keys. One traffic thread serves callers by the
//! last view that control has published.

mod control;
mod error;
mod freshness;
mod http_server;
mod run;
mod settings;
mod shared;
mod traffic;
mod view;

pub use {
    error::EdgeError,
    run::run,
    settings::{EdgeSettings, RetrySettings},
};
