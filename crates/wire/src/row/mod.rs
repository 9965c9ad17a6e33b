//! JSON of the rows of the table.

mod block;
mod domain;
mod instance;
mod key;
mod row_wire;
mod server;
mod service;

pub use {
    block::{AssignmentWire, BlockWire, OverrideWire},
    domain::{ConfirmerWire, DomainWire},
    instance::InstanceWire,
    key::parse_row_key,
    row_wire::RowWire,
    server::ServerWire,
    service::ServiceWire,
};
