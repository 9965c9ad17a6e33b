//! The platform's table service as JSON.
//!
//! | call | answer |
//! |---|---|
//! | `GET /v1/changes?since=N` | [`ChangesWire`]: rows changed after revision N |
//! | `POST /v1/commit` with [`CommitWire`] | [`CommitResponseWire`] |
//! | `GET /v1/row?key=K` | [`StoredRowWire`] or 404 |
//! | `GET /v1/log?after=N&limit=M` | [`LogWire`]: history after revision N |
//!
//! The service knows keys, versions and conditions; what a value means is ours.

mod table_wire;

pub use table_wire::{
    ChangesWire, CheckWire, CommitResponseWire, CommitWire, HistoryWire, LogWire, RowChangeWire,
    StoredRowWire, WriteWire,
};

/// Keys under this prefix are the history; they are left out of changes.
pub const LOG_PREFIX: &str = "log/";
/// Keys under this prefix hold each writer's last commit; left out of changes.
pub const WRITER_PREFIX: &str = "lane/";
