//! Connection to a backend server, checked out of the pool for one exchange.

use {
    crate::traffic::pool::{Connection, Pool},
    std::net::SocketAddr,
};

/// Connection of a pool with one exchange in progress.
///
/// It returns to the pool once the response has been read to its end. Dropped before
/// that, it is reset.
#[derive(Debug)]
pub struct PooledConnection {
    pool: Pool,
    address: SocketAddr,
    connection: Connection,
}

impl PooledConnection {
    /// Wraps `connection`, which was taken from `pool` for the server at `address`.
    pub fn new(pool: &Pool, address: SocketAddr, connection: Connection) -> Self {
        Self {
            pool: pool.clone(),
            address,
            connection,
        }
    }

    /// The connection, to send the request and to read the response.
    pub fn connection_mut(&mut self) -> &mut Connection {
        &mut self.connection
    }

    /// Returns the connection to the pool. If part of the request is still being written,
    /// the pool hands the connection out only after the write has ended.
    pub fn return_to_pool(self) {
        self.pool.release(self.address, self.connection);
    }
}
