//! The admin API as JSON; `docs/ADMIN-API.md` lists the calls.

mod answers;
mod edits;
mod refused;
mod status;

pub use {
    answers::{ErrorWire, HistoryEntryWire, HistoryPageWire, RevisionWire, VersionedRowWire},
    edits::{EditWire, MoveWire, RowEditWire},
    refused::{CrashEntryWire, LiftWire, RefusedWire},
    status::{OwnerWire, RowsWire, StatusWire},
};

/// Request header: who makes an edit.
pub const HEADER_OPERATOR: &str = "citron-operator";
