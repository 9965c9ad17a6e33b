//! Records of service-level objectives as JSON: in the object store, and in the
//! answer of `GET /v1/burn`.

mod record_wire;

pub use record_wire::{BurnWire, PageWire, RecordWire, TallyWire};

/// Objects whose names begin with this are pages of records.
pub const PAGE_PREFIX: &str = "slo/";
/// Pages that an instance keeps: six hours, the current one, and one that is
/// being begun. An older page is written over.
const PAGES_PER_INSTANCE: u64 = 8;

/// The name of an instance's page of an hour.
///
/// ```
/// assert_eq!(citron_wire::slo::page_name("entry-1", 17), "slo/entry-1/1");
/// ```
pub fn page_name(instance: &str, hour: u64) -> String {
    format!("{PAGE_PREFIX}{instance}/{}", hour % PAGES_PER_INSTANCE)
}
