//! The admin API's access to the control thread.

use {
    super::Node,
    crate::{admin::ControlView, traffic::CrashEvent},
    citron_core::{
        crash::{CrashEntry, Fingerprint},
        id::Revision,
        table::Table,
    },
    citron_ports::{PlatformError, TableStore},
    tokio::task::spawn_local,
};

impl<S: TableStore + 'static> ControlView for Node<S> {
    fn revision_in_force(&self) -> Revision {
        let snapshot = self.handle().snapshot();
        let snapshot = snapshot.as_ref();
        snapshot.map_or(Revision(0), |snapshot| snapshot.map.revision)
    }

    fn with_table<T>(&self, read: impl FnOnce(&Table) -> T) -> T {
        Self::with_table(self, read)
    }

    async fn refresh(&self) -> Result<(), PlatformError> {
        Self::refresh(self).await
    }

    async fn crash_entries(&self) -> Vec<CrashEntry> {
        self.handle().crash_entries().await
    }

    fn lift_refusal(&self, fingerprint: Fingerprint) {
        self.handle()
            .send_crash_event(&CrashEvent::Lift(fingerprint));
    }

    /// Reads the edit back and announces it to the other instances, in a task of its own:
    /// the edit has been accepted, so the operator's response does not wait for either.
    fn on_edit_accepted(&self) {
        let node = self.clone();
        spawn_local(async move {
            if node.refresh().await.is_ok() {
                node.announce_revision();
            }
        });
    }
}
