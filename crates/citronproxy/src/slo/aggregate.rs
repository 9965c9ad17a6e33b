//! Aggregates the records of all instances.

use {
    super::unix_time,
    citron_core::slo::{Minute, SLOW_BURN, TallySeries},
    citron_ports::{ObjectStore, PlatformError},
    citron_wire::slo::{BurnWire, PAGE_PREFIX, PageWire, RecordWire},
    std::collections::BTreeSet,
};

/// Reads and merges the pages of all instances for the last six hours.
///
/// # Errors
/// If the object store cannot be listed. Pages that cannot be read are counted in the
/// result.
pub async fn aggregate_pages(store: &impl ObjectStore) -> Result<BurnWire, PlatformError> {
    let now = Minute::from_unix_time(unix_time());
    let first = Minute((now.0 + 1).saturating_sub(SLOW_BURN.long));
    let mut series = TallySeries::default();
    let mut instances = BTreeSet::new();
    let mut unread = 0;
    for name in store.list(PAGE_PREFIX).await? {
        let Some((instance, page)) = read_page(store, &name).await else {
            unread += 1;
            continue;
        };
        // Page names are reused. A page that has not been overwritten yet may be older
        // than six hours; such pages are skipped.
        if page.entries().any(|(minute, _, _)| minute >= first) {
            series.merge(&page);
            instances.insert(instance);
        }
    }
    series.drop_before(first);
    Ok(BurnWire {
        minute: now.0,
        instances: instances.into_iter().collect(),
        unread,
        record: RecordWire::from(&series),
    })
}

async fn read_page(store: &impl ObjectStore, name: &str) -> Option<(String, TallySeries)> {
    let bytes = store.get(name).await.ok()??;
    let page: PageWire = serde_json::from_slice(&bytes).ok()?;
    let record = TallySeries::try_from(page.record).ok()?;
    Some((page.instance, record))
}
