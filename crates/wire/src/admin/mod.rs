//! The admin API as JSON; `docs/ADMIN-API.md` lists the calls.

mod edits;
mod refused;
mod responses;
mod status;

pub use {
    edits::{EditWire, MoveWire, RowEditWire},
    refused::{CrashEntryWire, LiftWire, RefusedWire},
    responses::{ErrorWire, HistoryEntryWire, HistoryPageWire, RevisionWire, VersionedRowWire},
    status::{OwnerWire, RowsWire, StatusWire},
};

/// Request header: who makes an edit.
pub const HEADER_OPERATOR: &str = "citron-operator";
