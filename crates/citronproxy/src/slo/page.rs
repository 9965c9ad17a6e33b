//! Page with the records of one instance for one hour.

use {
    citron_core::{id::InstanceId, slo::TallySeries},
    citron_ports::{ObjectStore, PlatformError},
    citron_wire::slo::{PageWire, RecordWire, page_name},
};

/// A page that is still being filled.
#[derive(Debug)]
pub(super) struct Page {
    /// Hours since the Unix epoch.
    pub hour: u64,
    /// Counts of the hour.
    pub record: TallySeries,
    /// Whether the page has counts that are not in the object store yet.
    pub is_dirty: bool,
    /// Whether the page includes the counts that an earlier incarnation of the instance
    /// stored for this hour. Until it does, writing it would overwrite those counts.
    is_merged: bool,
}

impl Page {
    /// The first page after a start, not merged with stored counts yet.
    pub fn unmerged(hour: u64) -> Self {
        let is_merged = false;
        Self {
            is_merged,
            ..Self::new(hour)
        }
    }

    /// A page for an hour that began while the instance was running.
    pub fn new(hour: u64) -> Self {
        Self {
            hour,
            record: TallySeries::default(),
            is_dirty: false,
            is_merged: true,
        }
    }

    /// Writes the page if it has changed.
    pub async fn flush(
        &mut self,
        store: &impl ObjectStore,
        instance: &InstanceId,
    ) -> Result<(), PlatformError> {
        if !self.is_dirty {
            return Ok(());
        }
        let name = page_name(instance.as_str(), self.hour);
        if !self.is_merged {
            self.merge_stored(store, &name).await?;
        }
        let page = PageWire {
            instance: instance.to_string(),
            hour: self.hour,
            record: RecordWire::from(&self.record),
        };
        let bytes = serde_json::to_vec(&page);
        let bytes = bytes.map_err(|error| PlatformError::InvalidResponse(error.to_string()))?;
        store.put(&name, bytes).await?;
        self.is_dirty = false;
        Ok(())
    }

    async fn merge_stored(
        &mut self,
        store: &impl ObjectStore,
        name: &str,
    ) -> Result<(), PlatformError> {
        if let Some(bytes) = store.get(name).await? {
            // A stored page that cannot be parsed, or that holds another hour, is
            // overwritten.
            let page = serde_json::from_slice::<PageWire>(&bytes).ok();
            let page = page.filter(|page| page.hour == self.hour);
            let earlier = page.and_then(|page| TallySeries::try_from(page.record).ok());
            for (minute, service, tally) in earlier.unwrap_or_default().entries() {
                self.record.add(minute, service, tally);
            }
        }
        self.is_merged = true;
        Ok(())
    }
}
