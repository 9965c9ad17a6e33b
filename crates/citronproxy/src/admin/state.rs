//! What the admin API works on.

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

/// What the admin API needs of the control thread.
pub trait ControlView {
    /// The revision that requests are routed by; 0 before the first one.
    fn revision_in_force(&self) -> Revision;

    /// Looks at the last rows that were read; nothing in `look` may wait.
    fn with_table<T>(&self, read: impl FnOnce(&Table) -> T) -> T;

    /// Reads the platform, so that the rows hold every commit answered before.
    ///
    /// # Errors
    /// If the platform gives no answer; the older rows stay.
    fn refresh(&self) -> impl Future<Output = Result<(), PlatformError>>;

    /// Requests that crashed servers.
    fn crash_entries(&self) -> impl Future<Output = Vec<CrashEntry>>;

    /// Lets requests through that crashed servers.
    fn lift_refusal(&self, fingerprint: Fingerprint);

    /// Told after an edit was accepted, so that it need not wait for the next
    /// read to be in force.
    fn on_edit_accepted(&self);
}

/// The admin API of one instance, over any table store.
#[derive(Debug)]
pub struct AdminApi<S, C> {
    /// The instance's name.
    pub instance: InstanceId,
    /// Its failure domain.
    pub domain: DomainName,
    /// The store; a writer of its own, so that an edit whose outcome is being
    /// settled holds up no commit of the control loop.
    pub store: S,
    /// The control thread.
    pub control: C,
    /// The bearer token; without one every call is refused.
    pub token: Option<String>,
}

impl<S, C: ControlView> AdminApi<S, C> {
    /// Reads the platform.
    pub(super) async fn refresh(&self) -> Result<(), AdminError> {
        let read = self.control.refresh().await;
        read.map_err(AdminError::platform_unavailable)
    }
}
