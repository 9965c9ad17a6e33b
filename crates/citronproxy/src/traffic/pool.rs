//! Pool of connections to backend servers, one for each traffic thread.

use {
    super::{
        request_body::UpstreamBody,
        socket::{SocketState, TrackedStream},
    },
    crate::clock::Clock,
    citron_core::time::Time,
    http::{Request, Response},
    hyper::{
        body::Incoming,
        client::conn::{
            TrySendError,
            http1::{Builder, SendRequest},
        },
    },
    hyper_util::rt::TokioIo,
    rustc_hash::FxHashMap,
    socket2::SockRef,
    std::{
        cell::{Cell, RefCell},
        fmt,
        io::ErrorKind,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    thiserror::Error,
    tokio::{
        net::TcpStream,
        task::AbortHandle,
        time::{error::Elapsed, timeout},
    },
};

/// Maximum number of idle connections to one server.
const MAX_IDLE_CONNECTIONS: usize = 32;
/// Maximum time for which a connection may stay idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Margin by which the use of an idle connection ends before the server's declared
/// keep-alive timeout: servers declare whole seconds, and a request must arrive before
/// the server closes the connection.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(1);
/// Maximum time since the last read from a connection that carries a request which may
/// run only once. It is far below the time after which middleboxes drop idle connections.
const RECENT_READ: Duration = Duration::from_secs(1);
/// Maximum time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Read buffer of a connection in bytes; it also limits the size of a response head.
const READ_BUFFER_BYTES: usize = 64 * 1_024;

/// Reason why a connection could not be opened. Nothing was written to the server.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// The server is unreachable, or a socket operation failed.
    #[error("connect: {0}")]
    Io(#[from] std::io::Error),
    /// The server did not accept the connection in time.
    #[error("connect: no answer in time")]
    TimedOut(#[from] Elapsed),
    /// The HTTP handshake failed.
    #[error("handshake: {0}")]
    Handshake(#[from] hyper::Error),
}

impl ConnectError {
    /// Whether the server is reachable and reset the connection.
    pub fn is_reset(&self) -> bool {
        matches!(self, Self::Io(error) if error.kind() == ErrorKind::ConnectionReset)
    }
}

/// Number of a connection, unique within its pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionId(u64);

impl fmt::Display for ConnectionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Connection that carries one exchange at a time and is closed when dropped.
#[derive(Debug)]
pub struct Connection {
    /// Number of the connection.
    pub id: ConnectionId,
    /// Sends requests on the connection.
    pub sender: SendRequest<UpstreamBody>,
    /// State of the socket.
    pub socket: Rc<SocketState>,
    /// Whether the connection has carried an exchange before.
    pub is_reused: bool,
    /// Keep-alive timeout that the server declared, if any.
    pub keep_alive: Option<Duration>,
    driver: AbortHandle,
}

impl Connection {
    /// Sends a request, and returns the head of the response.
    ///
    /// # Errors
    /// If the connection fails, or ends before the request is written.
    pub fn send(
        &mut self,
        request: Request<UpstreamBody>,
    ) -> impl Future<Output = Result<Response<Incoming>, TrySendError<Request<UpstreamBody>>>> + use<>
    {
        self.socket.set_body(request.body().watch());
        self.sender.try_send_request(request)
    }

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
    /// Stops the connection task and closes the socket. The server can detect that no one
    /// waits for the response, and a late response cannot be read as that of another
    /// request.
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Condition on idle connections that a request may reuse.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// Connections from which bytes were read within this time, or within the server's
    /// declared keep-alive timeout if that is shorter.
    ReadWithin(Duration),
    /// Connections within the server's declared keep-alive timeout; without one, those
    /// from which bytes were read within this time.
    KeepAliveOr(Duration),
    /// No idle connections.
    Never,
}

impl Reuse {
    /// Any connection that is not known to be closed.
    pub const ANY: Self = Self::ReadWithin(IDLE_TIMEOUT);
    /// Connections from which bytes were read very recently: on a dead connection the
    /// request would be lost and could not be sent again.
    pub const RECENT: Self = Self::ReadWithin(RECENT_READ);
}

/// Idle connections by server address.
#[derive(Debug, Clone)]
pub struct Pool {
    idle: Rc<RefCell<FxHashMap<SocketAddr, Vec<Connection>>>>,
    next_id: Rc<Cell<u64>>,
    clock: Clock,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(clock: Clock) -> Self {
        Self {
            idle: Rc::default(),
            next_id: Rc::default(),
            clock,
        }
    }

    /// Returns an idle connection, other than those in `excluded`, or opens a new one.
    ///
    /// # Errors
    /// [`ConnectError`] if no idle connection is usable and no new one can be opened.
    pub async fn acquire(
        &self,
        address: SocketAddr,
        reuse: Reuse,
        excluded: &[ConnectionId],
    ) -> Result<Connection, ConnectError> {
        match self.take_idle(address, reuse, excluded) {
            Some(connection) => Ok(connection),
            None => self.connect(address).await,
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, ConnectError> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        // A request whose client disconnected must not occupy a slot of the server.
        // Closing with a reset informs the server at once and discards unsent bytes.
        SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
        let socket = SocketState::new(self.clock);
        let io = TokioIo::new(TrackedStream::new(stream, Rc::clone(&socket)));
        let handshake = Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(io)
            .await;
        let (sender, driver) = handshake?;
        let id = ConnectionId(self.next_id.get());
        self.next_id.set(id.0 + 1);
        let driver = tokio::task::spawn_local(async move {
            if let Err(error) = driver.await {
                log::debug!("connection {id} to {address} ended: {error}");
            }
        });
        Ok(Connection {
            id,
            sender,
            socket,
            is_reused: false,
            keep_alive: None,
            driver: driver.abort_handle(),
        })
    }

    /// Returns a connection to the pool after a complete exchange.
    pub fn release(&self, address: SocketAddr, mut connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        if connections.len() >= MAX_IDLE_CONNECTIONS || connection.sender.is_closed() {
            return;
        }
        connection.is_reused = true;
        connections.push(connection);
    }

    /// Whether there is an idle connection that may be reused.
    pub fn has_idle(&self, address: &SocketAddr, reuse: Reuse) -> bool {
        let now = self.clock.now();
        let idle = self.idle.borrow();
        let mut connections = idle.get(address).into_iter().flatten();
        connections.any(|connection| connection.is_usable(reuse, now))
    }

    /// Drops the idle connections from which nothing was read since `since`. One
    /// connection of that age stopped responding, and the middlebox that dropped its
    /// state may have dropped theirs too. Connections with later reads are kept, since
    /// the server itself need not be at fault.
    pub fn evict_older(&self, address: SocketAddr, since: Time) {
        if let Some(connections) = self.idle.borrow_mut().get_mut(&address) {
            connections.retain(|connection| connection.socket.last_read() >= since);
        }
    }

    fn take_idle(
        &self,
        address: SocketAddr,
        reuse: Reuse,
        excluded: &[ConnectionId],
    ) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        connections.retain(|connection| {
            !connection.sender.is_closed() && now - connection.socket.last_read() < IDLE_TIMEOUT
        });
        let usable = |connection: &Connection| {
            connection.is_usable(reuse, now) && !excluded.contains(&connection.id)
        };
        let position = connections.iter().rposition(usable)?;
        let connection = connections.remove(position);
        connection.socket.record_progress();
        Some(connection)
    }
}
