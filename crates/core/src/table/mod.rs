//! The operators' table: typed rows, and the copy that an instance holds.

mod block;
mod commit;
mod domain;
mod error;
mod instance;
mod row;
mod server;
mod service;
mod store;

pub use {
    block::{BLOCK_SHARDS, BlockId, BlockRow, OverrideRow},
    commit::{Changes, Commit, CommitAnswer, HistoryRow, RowChange, Write},
    domain::{Confirmer, DomainRow, DomainState},
    error::TableError,
    instance::{InstanceRow, InstanceState},
    row::{Row, RowKey, Versioned},
    server::{Fencing, ServerRow, ServerState},
    service::{KeyRule, MoveBudget, Objectives, ServiceRow},
    store::Table,
};
