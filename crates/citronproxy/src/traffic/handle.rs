//! What control sees of traffic.

use {
    arc_swap::{ArcSwapOption, Guard},
    citron_core::routing::Snapshot,
    std::sync::Arc,
};

/// Hands snapshots to the traffic threads without a lock.
#[derive(Debug, Clone, Default)]
pub struct TrafficHandle {
    snapshot: Arc<ArcSwapOption<Snapshot>>,
}

impl TrafficHandle {
    /// Makes a snapshot the one that requests are routed by from now on.
    pub fn publish(&self, snapshot: Snapshot) {
        self.snapshot.store(Some(Arc::new(snapshot)));
    }

    /// The snapshot in force; `None` until the first one is published.
    pub fn snapshot(&self) -> Guard<Option<Arc<Snapshot>>> {
        self.snapshot.load()
    }
}
