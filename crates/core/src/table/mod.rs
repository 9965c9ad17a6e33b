//! The operators' configuration table: typed rows, edits and their rules, and the replica
//! that each instance holds.

mod block;
mod commit;
mod domain;
mod edit;
mod edited;
mod error;
mod initial;
mod instance;
mod lookup;
mod replica;
mod row;
mod rules;
mod server;
mod service;

pub use {
    block::{BlockId, BlockRow, OverrideRow, SHARDS_PER_BLOCK},
    commit::{Changes, Check, Commit, CommitOutcome, HistoryRow, RowChange, Write},
    domain::{Confirmer, DomainRow, DomainState},
    edit::{Edit, EditPlan, MAX_EDIT_ROWS, RowEdit},
    error::TableError,
    initial::initial_blocks,
    instance::{InstanceRow, InstanceState},
    replica::Table,
    row::{Row, RowKey, Versioned},
    server::{Fencing, ServerRow, ServerState},
    service::{KeySource, MoveBudget, Objectives, ServiceRow},
};
