//! Snapshot that the control thread publishes to traffic threads.

use {
    super::RouteMap,
    crate::{id::DomainName, membership::RoutingLease},
    std::sync::Arc,
};

/// A routing map and the lease to use it, replaced together.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// The routing map.
    pub map: Arc<RouteMap>,
    /// Lease within which the map may be used.
    pub confirmation: RoutingLease,
    /// Failure domain of this instance.
    pub domain: DomainName,
}
