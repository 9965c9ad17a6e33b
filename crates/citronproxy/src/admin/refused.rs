//! Requests that crashed backend servers, and are refused for it.

use {
    super::{Admin, AdminError},
    crate::{events, traffic::CrashNote},
    citron_core::crash::Fingerprint,
    citron_platform::TableStore,
    citron_wire::admin::{RefusedEntryWire, RefusedWire},
};

impl<S: TableStore> Admin<S> {
    /// Fingerprints with crashes, as this instance knows of them.
    pub(super) async fn refused(&self) -> RefusedWire {
        let entries = self.handle().crash_entries().await;
        RefusedWire {
            entries: entries.iter().map(RefusedEntryWire::from).collect(),
        }
    }

    /// Lets requests through again; the other instances hear of it by the next
    /// report.
    pub(super) async fn lift(
        &self,
        print: Fingerprint,
        by: &str,
    ) -> Result<RefusedWire, AdminError> {
        let entries = self.handle().crash_entries().await;
        let Some(entry) = entries.iter().find(|entry| entry.fingerprint == print) else {
            return Err(AdminError::NotFound(format!("fingerprint {print}")));
        };
        log::info!("{} {print} {} by {by}", events::REFUSAL_LIFTED, entry.label);
        self.handle().note_crash(&CrashNote::Lift(print));
        Ok(self.refused().await)
    }
}
