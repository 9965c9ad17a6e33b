//! Counts for service-level objectives: taken from traffic on the control
//! thread, kept as small pages in the object store, and put together again for
//! whoever asks.

mod aggregate;
mod page;
mod recorder;

pub use {aggregate::aggregate_pages, recorder::Recorder};

use page::Page;

use std::time::{Duration, SystemTime};

/// The wall clock: it only labels records, no decision about keys rests on it.
fn unix_time() -> Duration {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.unwrap_or_default()
}
