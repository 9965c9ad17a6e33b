//! Connection to a backend server, checked out of the pool for one exchange.

use {
    crate::traffic::{
        pool::{Connection, Pool},
        request_body::ClientBody,
    },
    std::{net::SocketAddr, rc::Rc},
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
    /// Body of the request that is sent on the connection.
    body: Rc<ClientBody>,
}

impl PooledConnection {
    /// Wraps `connection`, which was taken from `pool` to send a request with this body to
    /// the server at `address`.
    pub fn new(
        pool: &Pool,
        address: SocketAddr,
        connection: Connection,
        body: &Rc<ClientBody>,
    ) -> Self {
        Self {
            pool: pool.clone(),
            address,
            connection,
            body: Rc::clone(body),
        }
    }

    /// The connection, to send the request and to read the response.
    pub fn connection_mut(&mut self) -> &mut Connection {
        &mut self.connection
    }

    /// Returns the connection to the pool. If part of the request is still being written,
    /// the pool hands the connection out only after the write has ended. Resets the connection
    /// if the body has not been received to its end: the server would wait for the rest of it.
    pub fn return_to_pool(self) {
        if self.body.is_complete() {
            self.pool.release(self.address, self.connection);
        }
    }
}
