//! State of the admin API.

use {
    super::AdminError,
    citron_core::{
        crash::{CrashEntry, Fingerprint},
        id::{DomainName, InstanceId, Revision},
        table::Table,
    },
    citron_ports::PlatformError,
    std::future::Future,
};

/// Access of the admin API to the control thread.
pub trait ControlView {
    /// Revision by which requests are routed; 0 before the first one.
    fn revision_in_force(&self) -> Revision;

    /// Calls `read` with the table that was read last. `read` must not block.
    fn with_table<T>(&self, read: impl FnOnce(&Table) -> T) -> T;

    /// Reads the platform, so that the table includes every commit acknowledged before.
    ///
    /// # Errors
    /// If the platform does not answer; the table is unchanged then.
    fn refresh(&self) -> impl Future<Output = Result<(), PlatformError>>;

    /// Recorded requests that crashed servers.
    fn crash_entries(&self) -> impl Future<Output = Vec<CrashEntry>>;

    /// Lifts the refusal of requests that crashed servers.
    fn lift_refusal(&self, fingerprint: Fingerprint);

    /// Called after an edit was accepted, so that the edit takes force before the next
    /// periodic read.
    fn on_edit_accepted(&self);
}

/// Admin API of one instance, over any table store.
#[derive(Debug)]
pub struct AdminApi<S, C> {
    /// Id of the instance.
    pub instance: InstanceId,
    /// Failure domain of the instance.
    pub domain: DomainName,
    /// Table store. It has a separate writer id, so that an edit whose outcome is being
    /// determined does not delay commits of the control loop.
    pub store: S,
    /// Access to the control thread.
    pub control: C,
    /// Bearer token; without one every request is refused.
    pub token: Option<String>,
}

impl<S, C: ControlView> AdminApi<S, C> {
    /// Reads the platform.
    pub(super) async fn refresh(&self) -> Result<(), AdminError> {
        let read = self.control.refresh().await;
        read.map_err(AdminError::platform_unavailable)
    }
}
