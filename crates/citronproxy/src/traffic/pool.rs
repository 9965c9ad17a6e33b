//! Connections to backend servers, kept by one traffic thread for itself.

use {
    hyper::{
        body::Incoming,
        client::conn::http1::{SendRequest, handshake},
    },
    hyper_util::rt::TokioIo,
    rustc_hash::FxHashMap,
    std::{cell::RefCell, net::SocketAddr, rc::Rc},
    thiserror::Error,
    tokio::net::TcpStream,
};

/// A connection that can take one request.
pub type Connection = SendRequest<Incoming>;

/// Why there is no connection; nothing was written to the server.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// The server cannot be reached.
    #[error("connect: {0}")]
    Io(#[from] std::io::Error),
    /// The HTTP handshake failed.
    #[error("handshake: {0}")]
    Http(#[from] hyper::Error),
}

/// Idle connections by address.
#[derive(Debug, Clone, Default)]
pub struct Pool {
    idle: Rc<RefCell<FxHashMap<SocketAddr, Vec<Connection>>>>,
}

impl Pool {
    /// An idle connection, or a new one.
    pub async fn take(&self, address: SocketAddr) -> Result<Connection, ConnectError> {
        if let Some(connection) = self.take_idle(address) {
            return Ok(connection);
        }
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, driver) = handshake(TokioIo::new(stream)).await?;
        tokio::task::spawn_local(async move {
            if let Err(error) = driver.await {
                log::debug!("connection to {address} ended: {error}");
            }
        });
        Ok(sender)
    }

    /// Keeps a connection for the next request.
    pub fn give(&self, address: SocketAddr, connection: Connection) {
        if connection.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        idle.entry(address).or_default().push(connection);
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            if connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }
}
