//! Records for service-level objectives. The control thread collects counts from the
//! traffic threads, stores them as small pages in the object store, and aggregates the
//! pages of all instances on request.

mod aggregate;
mod page;
mod recorder;

pub use {aggregate::aggregate_pages, recorder::Recorder};

use page::Page;

use std::time::{Duration, SystemTime};

/// Wall-clock time since the Unix epoch. It only labels records; no decision about keys
/// depends on it.
fn unix_time() -> Duration {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.unwrap_or_default()
}
