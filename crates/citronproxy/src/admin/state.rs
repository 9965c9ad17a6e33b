//! What the admin API works on.

use {
    super::AdminError,
    crate::traffic::TrafficHandle,
    citron_core::{
        id::{DomainName, InstanceId, Revision},
        table::Table,
    },
    citron_platform::TableStore,
    std::cell::{Ref, RefCell},
};

/// The admin API of one instance, over any table store.
///
/// It keeps a copy of the table of its own, read when an operator asks, so that
/// a slow operator's call never holds up the copy that requests are routed by.
#[derive(Debug)]
pub struct Admin<S> {
    /// The instance's name.
    pub instance: InstanceId,
    /// Its failure domain.
    pub domain: DomainName,
    /// The store; a writer of its own, so that an edit whose outcome is being
    /// settled holds up no commit of the control loop.
    pub store: S,
    pub(super) token: Option<String>,
    handle: TrafficHandle,
    table: RefCell<Table>,
}

impl<S: TableStore> Admin<S> {
    /// An API that refuses every call if there is no token.
    pub fn new(
        instance: InstanceId,
        domain: DomainName,
        store: S,
        handle: TrafficHandle,
        token: Option<String>,
    ) -> Self {
        Self {
            instance,
            domain,
            store,
            token,
            handle,
            table: RefCell::default(),
        }
    }

    /// The revision that requests are routed by; 0 before the first one.
    pub fn in_force(&self) -> Revision {
        let snapshot = self.handle.snapshot();
        snapshot
            .as_ref()
            .map_or(Revision(0), |snapshot| snapshot.map.revision)
    }

    pub(super) fn handle(&self) -> &TrafficHandle {
        &self.handle
    }

    /// The last rows that were read.
    pub fn table(&self) -> Ref<'_, Table> {
        self.table.borrow()
    }

    /// Reads the platform, so that [`Self::table`] holds every commit answered
    /// before.
    ///
    /// # Errors
    /// If the platform gives no answer; the older rows stay.
    pub async fn refresh(&self) -> Result<(), AdminError> {
        let since = self.table.borrow().revision();
        let changes = self.store.changes(since).await;
        let changes = changes.map_err(AdminError::unread)?;
        self.table.borrow_mut().apply(changes)?;
        Ok(())
    }
}
