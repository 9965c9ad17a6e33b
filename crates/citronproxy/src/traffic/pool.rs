//! Connections to backend servers, kept by one traffic thread for itself.

use {
    super::{
        request_body::UpstreamBody,
        socket::{SocketState, TrackedStream},
    },
    crate::clock::Clock,
    citron_core::time::Time,
    hyper::client::conn::http1::{Builder, SendRequest},
    hyper_util::rt::TokioIo,
    rustc_hash::FxHashMap,
    socket2::SockRef,
    std::{cell::RefCell, io::ErrorKind, net::SocketAddr, rc::Rc, time::Duration},
    thiserror::Error,
    tokio::{
        net::TcpStream,
        task::AbortHandle,
        time::{error::Elapsed, timeout},
    },
};

/// Idle connections to one server that a thread keeps at most.
const MAX_IDLE_CONNECTIONS: usize = 32;
/// How long a connection may stay idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// How long before the end that a server has told a connection is used no more:
/// it tells whole seconds, and a request must arrive before it closes.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(1);
/// How recently a connection must have received bytes to carry a request that may
/// run only once: far below the time after which middle boxes forget a connection.
const RECENT_READ: Duration = Duration::from_secs(1);
/// How long a new connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Read buffer of one connection, in bytes; bounds the head of an answer too.
const READ_BUFFER_BYTES: usize = 64 * 1_024;

/// Why there is no connection; nothing was written to the server.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// The server cannot be reached.
    #[error("connect: {0}")]
    Io(#[from] std::io::Error),
    /// The server did not take the connection in time.
    #[error("connect: no answer in time")]
    TimedOut(#[from] Elapsed),
    /// The HTTP handshake failed.
    #[error("handshake: {0}")]
    Handshake(#[from] hyper::Error),
}

impl ConnectError {
    /// Whether the server is there, and reset the connection.
    pub fn is_reset(&self) -> bool {
        matches!(self, Self::Io(error) if error.kind() == ErrorKind::ConnectionReset)
    }
}

/// A connection that carries one exchange at a time; closed at once when dropped.
#[derive(Debug)]
pub struct Connection {
    /// Takes requests.
    pub sender: SendRequest<UpstreamBody>,
    /// What is known of the socket.
    pub socket: Rc<SocketState>,
    /// Whether it has carried an exchange before.
    pub reused: bool,
    /// How long the server keeps it open while it is idle, by its own word.
    pub keep_alive: Option<Duration>,
    driver: AbortHandle,
}

impl Connection {
    fn is_usable(&self, reuse: Reuse, now: Time) -> bool {
        let keep_alive = self
            .keep_alive
            .map(|timeout| timeout.saturating_sub(KEEP_ALIVE_MARGIN));
        let limit = match reuse {
            Reuse::ReadWithin(limit) => limit.min(keep_alive.unwrap_or(limit)),
            Reuse::KeepAliveOr(default) => keep_alive.unwrap_or(default),
            Reuse::Never => return false,
        };
        self.sender.is_ready() && now - self.socket.last_read() < limit
    }
}

impl Drop for Connection {
    /// Ends the driver and with it the socket: the server sees that nobody waits
    /// any more, and a late answer finds no reader that could take it for its own.
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Which idle connections a request may go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// Those that received bytes within this time, or within the time that
    /// the server keeps them if that is shorter.
    ReadWithin(Duration),
    /// Those that the server still keeps by its own word; without any, those that
    /// received bytes within this time.
    KeepAliveOr(Duration),
    /// None.
    Never,
}

impl Reuse {
    /// Any that is not known to be closed.
    pub const ANY: Self = Self::ReadWithin(IDLE_TIMEOUT);
    /// Those that received bytes just now: on one that went silent the
    /// request would be lost, and could not be sent again.
    pub const RECENT: Self = Self::ReadWithin(RECENT_READ);
}

/// Idle connections by address.
#[derive(Debug, Clone)]
pub struct Pool {
    idle: Rc<RefCell<FxHashMap<SocketAddr, Vec<Connection>>>>,
    clock: Clock,
}

impl Pool {
    /// An empty pool.
    pub fn new(clock: Clock) -> Self {
        Self {
            idle: Rc::default(),
            clock,
        }
    }

    /// An idle connection, or a new one.
    ///
    /// # Errors
    /// If there is none and the server takes no new one.
    pub async fn acquire(
        &self,
        address: SocketAddr,
        reuse: Reuse,
    ) -> Result<Connection, ConnectError> {
        match self.take_idle(address, reuse) {
            Some(connection) => Ok(connection),
            None => self.connect(address).await,
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, ConnectError> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        // A caller that has left must not keep a slot of the server busy: a reset
        // tells the server at once, and drops what is still on its way.
        SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
        let socket = SocketState::new(self.clock);
        let io = TokioIo::new(TrackedStream::new(stream, Rc::clone(&socket)));
        let handshake = Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(io)
            .await;
        let (sender, driver) = handshake?;
        let driver = tokio::task::spawn_local(async move {
            if let Err(error) = driver.await {
                log::debug!("connection to {address} ended: {error}");
            }
        });
        Ok(Connection {
            sender,
            socket,
            reused: false,
            keep_alive: None,
            driver: driver.abort_handle(),
        })
    }

    /// Keeps a connection whose exchange has ended whole.
    pub fn release(&self, address: SocketAddr, mut connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        if connections.len() >= MAX_IDLE_CONNECTIONS || connection.sender.is_closed() {
            return;
        }
        connection.reused = true;
        connections.push(connection);
    }

    /// Whether an idle connection is there.
    pub fn has_idle(&self, address: &SocketAddr, reuse: Reuse) -> bool {
        let now = self.clock.now();
        let idle = self.idle.borrow();
        let mut connections = idle.get(address).into_iter().flatten();
        connections.any(|connection| connection.is_usable(reuse, now))
    }

    /// Drops the idle connections that were last heard of before `since`: one of
    /// their age has gone silent, and whatever lost track of it may have lost
    /// track of them. Younger ones stay, so that the server is not suspected.
    pub fn evict_older(&self, address: SocketAddr, since: Time) {
        if let Some(connections) = self.idle.borrow_mut().get_mut(&address) {
            connections.retain(|connection| connection.socket.last_read() >= since);
        }
    }

    fn take_idle(&self, address: SocketAddr, reuse: Reuse) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        connections.retain(|connection| {
            !connection.sender.is_closed() && now - connection.socket.last_read() < IDLE_TIMEOUT
        });
        let usable = |connection: &Connection| connection.is_usable(reuse, now);
        let position = connections.iter().rposition(usable)?;
        Some(connections.remove(position))
    }
}
