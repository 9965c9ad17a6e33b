//! JSON of the admin API; `docs/ADMIN-API.md` lists the calls.

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

/// Request header with the name of the operator who makes an edit.
pub const HEADER_OPERATOR: &str = "citron-operator";
