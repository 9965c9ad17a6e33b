//! HTTP client of one address, with a pool of idle connections.

use {
    crate::{
        metered_stream::MeteredStream,
        process_life::ProcessLife,
        read_budget::ReadBudget,
        reply::{Origin, Reply},
        status::is_final_status,
    },
    bytes::{Bytes, BytesMut},
    http::{HeaderName, HeaderValue, Request, Response, header},
    http_body_util::{BodyExt, Full},
    hyper::{
        body::Incoming,
        client::conn::http1::{SendRequest, handshake},
    },
    hyper_util::rt::TokioIo,
    socket2::{SockRef, TcpKeepalive},
    std::{
        cmp::Reverse,
        fmt::Display,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    thiserror::Error,
    tokio::{net::TcpStream, task::AbortHandle, time::timeout},
};

/// Time-out for opening a connection. The peers are milliseconds away, but a lost SYN packet
/// is resent only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Interval of TCP keepalive probes on a quiet connection. A middlebox may drop the state of
/// a connection silently; without probes, a call that waits on such a connection would
/// only fail at its own time-out.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keepalive probes after which the connection is reset.
const KEEPALIVE_RETRIES: u32 = 2;
/// Largest number of idle connections in the pool: as many as there are concurrent orders to
/// one backend server when many of its keys move.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// Longest time for which a response to an earlier call may have been on its way: after that,
/// keepalive probes have reset the connection.
const MAX_TRANSIT: Duration = Duration::from_secs(4);
/// Bytes that may come before and behind the body of a response.
const HEAD_BYTES_MAX: usize = 128 * 1_024;
/// Largest size of a body with its framing, as a multiple of its own size.
const FRAMING_FACTOR: usize = 2;

/// Error of an HTTP call.
#[derive(Debug, Error)]
pub enum CallError {
    /// The request was not sent, so a resend cannot run it twice.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The request was sent, and the peer may have run it.
    #[error("no response: {0}")]
    OutcomeUnknown(String),
    /// The request was sent, and the response to another call arrived. The peer may have run
    /// the request.
    #[error("no response: received that to another call, {0}")]
    OtherCall(String),
    /// The request was sent, and the body of the response is longer than this client accepts.
    #[error("the response is longer than {max_bytes} bytes")]
    TooLong {
        /// Largest accepted size of a body.
        max_bytes: usize,
    },
    /// The request was not sent, as the process at the address may have started too recently
    /// to be the one that it is meant for.
    #[error("not sent: the process at the address may be another one by now")]
    NotAdmitted,
}

impl CallError {
    /// The error of a call of which an earlier request was sent.
    fn after_sending(self) -> Self {
        match self {
            Self::NotSent(reason) => Self::OutcomeUnknown(reason),
            Self::NotAdmitted => Self::OutcomeUnknown(self.to_string()),
            Self::OutcomeUnknown(_) | Self::OtherCall(_) | Self::TooLong { .. } => self,
        }
    }
}

/// Time limit for receiving a response.
pub trait ReadTimeout {
    /// Remaining time for the next part of the response to arrive.
    fn remaining(&self) -> Duration;

    /// Records that a part of the response has arrived.
    fn progressed(&mut self);
}

/// Limits the time until the head of a response, and then the time between two parts of its
/// body. The whole response may take any time as long as data keeps arriving.
#[derive(Debug)]
pub struct IdleTimeout {
    deadline: Instant,
    idle_limit: Duration,
}

impl IdleTimeout {
    /// Creates a limit whose first period starts now.
    pub fn new(first_byte_limit: Duration, idle_limit: Duration) -> Self {
        Self {
            deadline: Instant::now() + first_byte_limit,
            idle_limit,
        }
    }
}

impl ReadTimeout for IdleTimeout {
    fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    fn progressed(&mut self) {
        self.deadline = Instant::now() + self.idle_limit;
    }
}

/// Limits the time until the end of the response.
struct Deadline(Instant);

impl ReadTimeout for Deadline {
    fn remaining(&self) -> Duration {
        self.0.saturating_duration_since(Instant::now())
    }

    fn progressed(&mut self) {}
}

/// An open connection, and the task that drives it.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    opened: Instant,
    budget: ReadBudget,
}

impl Drop for Connection {
    /// Closes the socket at once. It is configured to send a reset, which discards a
    /// request that is still in transit.
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// A connection that a request may be sent on.
#[derive(Debug)]
struct CheckedConnection {
    connection: Connection,
    /// Whether it has carried no call before.
    is_new: bool,
}

/// HTTP client of one address. Clones share the pool of idle connections.
#[derive(Debug, Clone)]
pub struct HttpClient {
    address: SocketAddr,
    max_bytes: usize,
    idle: Arc<Mutex<Vec<Connection>>>,
    life: Arc<Mutex<ProcessLife>>,
}

impl HttpClient {
    /// Creates a client without connecting. It rejects responses whose body is longer than
    /// `max_bytes`.
    pub fn new(address: SocketAddr, max_bytes: usize) -> Self {
        Self {
            address,
            max_bytes,
            idle: Arc::default(),
            life: Arc::default(),
        }
    }

    /// Sends a request and reads the whole response within `time_limit`. When the time is
    /// over, an unsent request is dropped and the connection of a sent one is reset.
    ///
    /// # Errors
    /// [`CallError::NotSent`] only if the peer cannot have received the request.
    pub async fn call(
        &self,
        request: Request<Bytes>,
        time_limit: Duration,
    ) -> Result<Response<Bytes>, CallError> {
        let deadline = Instant::now() + time_limit;
        self.fetch(request, &mut Deadline(deadline)).await
    }

    /// As [`Self::call`], under a random id in the header `name`, which the peer repeats. A
    /// response with the id of another call is discarded with its connection.
    ///
    /// A response without an id may be an additional one to an earlier call on the connection.
    /// If `needs_proof` says so, the connection is closed and the request is sent again on a
    /// new one, on which no other response can arrive.
    ///
    /// The request is sent only if `admits` allows it, given the time since when the process
    /// at the other end of the connection has certainly been running. Connections to the
    /// process known for longest are preferred.
    ///
    /// # Errors
    /// [`CallError::NotSent`] only if the peer cannot have received the request,
    /// [`CallError::OtherCall`] if the response to another call arrived,
    /// [`CallError::NotAdmitted`] if `admits` did not allow it.
    pub async fn call_identified(
        &self,
        request: Request<Bytes>,
        name: &HeaderName,
        needs_proof: impl Fn(&Response<Bytes>) -> bool,
        admits: impl AsyncFn(Instant) -> bool,
        time_limit: Duration,
    ) -> Result<Reply, CallError> {
        let mut limit = Deadline(Instant::now() + time_limit);
        let idle = self.take_longest_known();
        let connection = self.admitted(idle, &admits, &limit).await?;
        let exchange = self.exchange_identified(connection, request.clone(), name, &mut limit);
        let (response, connection, origin) = exchange.await?;
        if origin == Origin::Call || !needs_proof(&response) {
            self.return_idle(connection.connection);
            let unproven = None;
            return Ok(Reply { response, unproven });
        }
        drop(connection);
        let connection = self.admitted(None, &admits, &limit).await;
        let connection = connection.map_err(CallError::after_sending)?;
        let exchange = self.exchange_identified(connection, request, name, &mut limit);
        let (proven, connection, _) = exchange.await.map_err(CallError::after_sending)?;
        self.return_idle(connection.connection);
        Ok(Reply {
            response: proven,
            unproven: Some(response),
        })
    }

    /// Opens a connection if only one is idle. It leads to the same process as soon as a call
    /// on another one that begins now is answered, and remains if the peer closes that.
    ///
    /// # Errors
    /// [`CallError::NotSent`] if the connection cannot be opened.
    pub async fn keep_spare(&self, time_limit: Duration) -> Result<(), CallError> {
        if self.idle().len() != 1 {
            return Ok(());
        }
        self.return_idle(self.connect_within(time_limit).await?);
        Ok(())
    }

    /// The given connection, or a new one, if `admits` allows to use it. Otherwise the
    /// connection becomes idle: a later call on another one may show that both lead to the
    /// same process.
    async fn admitted(
        &self,
        connection: Option<Connection>,
        admits: &impl AsyncFn(Instant) -> bool,
        limit: &impl ReadTimeout,
    ) -> Result<CheckedConnection, CallError> {
        let is_new = connection.is_none();
        let connection = match connection {
            Some(connection) => connection,
            None => self.connect_within(limit.remaining()).await?,
        };
        let known_since = self.life().known_since(connection.opened);
        let is_admitted = timeout(limit.remaining(), admits(known_since)).await;
        match is_admitted {
            Ok(true) => Ok(CheckedConnection { connection, is_new }),
            Ok(false) | Err(_) => {
                self.return_idle(connection);
                Err(CallError::NotAdmitted)
            }
        }
    }

    /// Sends a request under a random id. The origin of the response is not another call.
    async fn exchange_identified(
        &self,
        connection: CheckedConnection,
        mut request: Request<Bytes>,
        name: &HeaderName,
        limit: &mut impl ReadTimeout,
    ) -> Result<(Response<Bytes>, CheckedConnection, Origin), CallError> {
        let id = format!("{:016x}", rand::random::<u64>());
        let id = HeaderValue::from_str(&id).map_err(not_sent)?;
        request.headers_mut().insert(name, id.clone());
        let CheckedConnection { connection, is_new } = connection;
        let called = Instant::now();
        let (response, connection) = self.exchange(connection, request, limit).await?;
        let origin = Origin::of(&response, (name, &id), is_new);
        match origin {
            Origin::Call => self.life().record_response(connection.opened, called),
            Origin::Unknown => {
                if let Some(sent) = called.checked_sub(MAX_TRANSIT) {
                    self.life().record_response(connection.opened, sent);
                }
            }
            Origin::OtherCall => {
                let other = response.headers().get(name);
                return Err(CallError::OtherCall(format!(
                    "status {}, id {other:?} instead of {id:?}",
                    response.status()
                )));
            }
        }
        let connection = CheckedConnection { connection, is_new };
        Ok((response, connection, origin))
    }

    /// Sends a request and reads the whole response. When `limit` expires, the connection
    /// is reset.
    ///
    /// # Errors
    /// [`CallError::NotSent`] only if the peer cannot have received the request,
    /// [`CallError::TooLong`] if the body is longer than this client accepts.
    pub async fn fetch(
        &self,
        request: Request<Bytes>,
        limit: &mut impl ReadTimeout,
    ) -> Result<Response<Bytes>, CallError> {
        let connection = match self.take_idle() {
            Some(connection) => connection,
            None => self.connect_within(limit.remaining()).await?,
        };
        let (response, connection) = self.exchange(connection, request, limit).await?;
        self.return_idle(connection);
        Ok(response)
    }

    /// Sends a request and reads the whole response.
    async fn exchange(
        &self,
        mut connection: Connection,
        mut request: Request<Bytes>,
        limit: &mut impl ReadTimeout,
    ) -> Result<(Response<Bytes>, Connection), CallError> {
        let host = HeaderValue::from_str(&self.address.to_string()).map_err(not_sent)?;
        request.headers_mut().insert(header::HOST, host);
        connection.budget.reset();
        let sent = connection.sender.send_request(request.map(Full::new));
        let sent = timeout(limit.remaining(), sent)
            .await
            .map_err(|_| timed_out(0))?;
        let (head, body) = sent.map_err(outcome_unknown)?.into_parts();
        if !is_final_status(head.status) {
            return Err(outcome_unknown(format!(
                "status {} is not final",
                head.status
            )));
        }
        let bytes = self.read_body(body, limit).await?;
        Ok((Response::from_parts(head, bytes), connection))
    }

    async fn read_body(
        &self,
        mut body: Incoming,
        limit: &mut impl ReadTimeout,
    ) -> Result<Bytes, CallError> {
        let mut bytes = BytesMut::new();
        loop {
            let frame = timeout(limit.remaining(), body.frame()).await;
            let Some(frame) = frame.map_err(|_| timed_out(bytes.len()))? else {
                return Ok(bytes.freeze());
            };
            let data = frame
                .map_err(outcome_unknown)?
                .into_data()
                .unwrap_or_default();
            if bytes.len() + data.len() > self.max_bytes {
                let max_bytes = self.max_bytes;
                return Err(CallError::TooLong { max_bytes });
            }
            bytes.extend_from_slice(&data);
            limit.progressed();
        }
    }

    async fn connect_within(&self, limit: Duration) -> Result<Connection, CallError> {
        let connected = timeout(limit, self.connect()).await;
        connected.map_err(not_sent)?
    }

    async fn connect(&self) -> Result<Connection, CallError> {
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await;
        let stream = connected.map_err(not_sent)?.map_err(not_sent)?;
        configure_socket(&stream).map_err(not_sent)?;
        let budget = ReadBudget::new(HEAD_BYTES_MAX + FRAMING_FACTOR * self.max_bytes);
        let io = TokioIo::new(MeteredStream::new(stream, budget.clone()));
        let (sender, driver) = handshake(io).await.map_err(not_sent)?;
        let address = self.address;
        let driver = tokio::spawn(async move {
            if let Err(error) = driver.await {
                log::debug!("connection to {address} failed: {error}");
            }
        });
        Ok(Connection {
            sender,
            driver: driver.abort_handle(),
            opened: Instant::now(),
            budget,
        })
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle();
        idle.retain(|connection| !connection.sender.is_closed());
        let index = idle
            .iter()
            .rposition(|connection| connection.sender.is_ready())?;
        Some(idle.remove(index))
    }

    /// Takes an idle connection to the process that is known for longest.
    fn take_longest_known(&self) -> Option<Connection> {
        let mut idle = self.idle();
        idle.retain(|connection| !connection.sender.is_closed());
        let life = self.life();
        let ready = idle
            .iter()
            .enumerate()
            .filter(|(_, connection)| connection.sender.is_ready());
        // The last one of several that are equal, as it was used last.
        let (index, _) =
            ready.max_by_key(|(_, connection)| Reverse(life.known_since(connection.opened)))?;
        Some(idle.remove(index))
    }

    fn life(&self) -> MutexGuard<'_, ProcessLife> {
        self.life.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn return_idle(&self, connection: Connection) {
        let mut idle = self.idle();
        if idle.len() < MAX_IDLE_CONNECTIONS && !connection.sender.is_closed() {
            idle.push(connection);
        }
    }

    fn idle(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Disables Nagle's algorithm, and makes the socket send a reset on close and keepalive
/// probes while it is quiet.
fn configure_socket(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_linger(Some(Duration::ZERO))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive.with_retries(KEEPALIVE_RETRIES))
}

fn timed_out(bytes: usize) -> CallError {
    outcome_unknown(format!("not in time, {bytes} bytes of it came"))
}

fn not_sent(error: impl Display) -> CallError {
    CallError::NotSent(error.to_string())
}

fn outcome_unknown(error: impl Display) -> CallError {
    CallError::OutcomeUnknown(error.to_string())
}
