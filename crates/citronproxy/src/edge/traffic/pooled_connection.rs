//! A connection to a server, while an answer comes on it.

use {
    crate::traffic::pool::{Connection, Pool},
    std::net::SocketAddr,
};

/// Goes back to the pool once its answer was read whole; dropped before that,
/// the connection is reset.
#[derive(Debug)]
pub struct PooledConnection {
    pool: Pool,
    address: SocketAddr,
    connection: Connection,
}

impl PooledConnection {
    /// A connection of a pool.
    pub fn new(pool: &Pool, address: SocketAddr, connection: Connection) -> Self {
        Self {
            pool: pool.clone(),
            address,
            connection,
        }
    }

    /// The connection.
    pub fn connection_mut(&mut self) -> &mut Connection {
        &mut self.connection
    }

    /// Back to the pool. What is left of the request is written on: the pool
    /// gives a connection away only after that.
    pub fn return_to_pool(self) {
        self.pool.release(self.address, self.connection);
    }
}
