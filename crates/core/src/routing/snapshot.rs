//! What control hands to traffic.

use {
    super::RouteMap,
    crate::{id::DomainName, membership::RoutingLease},
    std::sync::Arc,
};

/// A map and the leave to use it, swapped as one.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// Where keys go.
    pub map: Arc<RouteMap>,
    /// Until when the map may be used.
    pub confirmation: RoutingLease,
    /// The instance's own failure domain.
    pub domain: DomainName,
}
