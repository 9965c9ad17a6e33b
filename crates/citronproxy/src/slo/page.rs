//! One hour of one instance.

use {
    citron_core::{id::InstanceId, slo::TallySeries},
    citron_ports::{ObjectStore, PlatformError},
    citron_wire::slo::{PageWire, RecordWire, page_name},
};

/// A page that is being written.
#[derive(Debug)]
pub(super) struct Page {
    /// Hours since the Unix epoch.
    pub hour: u64,
    /// What was counted.
    pub record: TallySeries,
    /// Whether it holds more than the object store.
    pub is_dirty: bool,
    /// Whether it holds what an earlier start of the instance counted in this
    /// hour. Until it does it must not be written: it would wipe that out.
    is_merged: bool,
}

impl Page {
    /// The page that a start of the instance begins with.
    pub fn unmerged(hour: u64) -> Self {
        let is_merged = false;
        Self {
            is_merged,
            ..Self::new(hour)
        }
    }

    /// The page of an hour that began while the instance ran.
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
            // A page that cannot be read is of no use to anybody.
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
