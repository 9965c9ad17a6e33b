//! Orders to backend servers.

use {
    crate::PlatformError,
    citron_core::{
        ownership::{BootId, Grant, GrantReply, ServerLease},
        table::ServerRow,
    },
    std::future::Future,
};

/// Gives grants and leases to backend servers that check them.
pub trait GrantClient {
    /// Sends grants and a lease in one order; with neither it only asks for the
    /// server's clock. An order that names another start than the server's is
    /// refused whole.
    fn send_order(
        &self,
        server: &ServerRow,
        boot: Option<BootId>,
        grants: &[Grant],
        lease: Option<ServerLease>,
    ) -> impl Future<Output = Result<GrantReply, PlatformError>>;
}
