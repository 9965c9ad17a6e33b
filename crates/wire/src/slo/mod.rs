//! JSON of the records that service-level objectives are evaluated from: as stored in the
//! object store, and in the response of `GET /v1/burn`.

mod record_wire;

pub use record_wire::{BurnWire, PageWire, RecordWire, TallyWire};

/// Prefix of the names of objects that hold pages of records.
pub const PAGE_PREFIX: &str = "slo/";
/// Number of hourly pages that an instance stores: six past hours, the current one, and one
/// more for the change to the next hour. Older pages are overwritten.
const PAGES_PER_INSTANCE: u64 = 8;

/// Returns the object name of an instance's page for an hour, counted from the Unix epoch.
///
/// ```
/// assert_eq!(citron_wire::slo::page_name("entry-1", 17), "slo/entry-1/1");
/// ```
pub fn page_name(instance: &str, hour: u64) -> String {
    format!("{PAGE_PREFIX}{instance}/{}", hour % PAGES_PER_INSTANCE)
}
