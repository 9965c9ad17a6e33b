//! Grants and leases sent to backend servers.

use {
    crate::PlatformError,
    citron_core::{
        ownership::{BootId, Grant, GrantReply, ServerLease},
        table::ServerRow,
    },
    std::future::Future,
};

/// Sends grants and leases to backend servers that verify them.
pub trait GrantClient {
    /// Sends grants and a lease in one order. An order with neither only reads the
    /// server's clock. `boot` names the server process that the order is meant for; a
    /// restarted server rejects all of it.
    ///
    /// # Errors
    /// [`PlatformError::OutcomeUnknown`] if the server may have applied the order.
    fn send_order(
        &self,
        server: &ServerRow,
        boot: Option<BootId>,
        grants: &[Grant],
        lease: Option<ServerLease>,
    ) -> impl Future<Output = Result<GrantReply, PlatformError>>;
}
