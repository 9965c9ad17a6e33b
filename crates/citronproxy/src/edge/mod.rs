//! Instance mode for an external platform: configuration and servers come from the
//! platform's store, and servers hold ranges of an ordered key space by lease.
//!
//! The control thread follows the store and exchanges state with other instances. On one
//! of them, it also plans which server owns which keys. The traffic thread serves callers
//! by the view that the control thread published last.

mod control;
mod error;
mod freshness;
mod http_server;
mod run;
mod settings;
mod shared;
mod slots;
mod statements;
mod traffic;
mod view;

pub use {
    error::EdgeError,
    run::run,
    settings::{EdgeSettings, RetrySettings, SlotBrokerSettings},
};
