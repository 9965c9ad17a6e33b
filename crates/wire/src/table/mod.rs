//! JSON of the platform's table service.
//!
//! | call | response |
//! |---|---|
//! | `GET /v1/changes?since=N` | [`ChangesWire`]: rows changed after revision N |
//! | `POST /v1/commit` with [`CommitWire`] | [`CommitResponseWire`] |
//! | `GET /v1/row?key=K` | [`StoredRowWire`] or 404 |
//! | `GET /v1/log?after=N&limit=M` | [`LogWire`]: history after revision N |
//!
//! The service handles keys, versions and preconditions. It does not interpret values.

mod table_wire;

pub use table_wire::{
    ChangesWire, CheckWire, CommitResponseWire, CommitWire, HistoryWire, LogWire, RowChangeWire,
    StoredRowWire, WriteWire,
};

/// Key prefix of history rows, which are not included in changes.
pub const LOG_PREFIX: &str = "log/";
/// Key prefix of the rows that hold the sequence number of each writer's last commit. They
/// are not included in changes.
pub const WRITER_PREFIX: &str = "lane/";
