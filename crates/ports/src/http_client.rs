//! Calls to one address over connections that are kept.

use {
    bytes::{Bytes, BytesMut},
    http::{HeaderValue, Request, Response, header},
    http_body_util::{BodyExt, Full},
    hyper::{
        body::Incoming,
        client::conn::http1::{SendRequest, handshake},
    },
    hyper_util::rt::TokioIo,
    socket2::{SockRef, TcpKeepalive},
    std::{
        fmt::Display,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    thiserror::Error,
    tokio::{net::TcpStream, task::AbortHandle, time::timeout},
};

/// How long a connection may take. Instances and what they call are milliseconds
/// apart; a lost opening packet is sent again after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// How often the kernel asks whether the other side of a quiet connection is
/// still there, and how often in vain before it is reset. Something between may
/// forget a connection without a word: a call that waits on one would hear of
/// no change until its own time is over.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_RETRIES: u32 = 2;
/// Idle connections kept to one address: as many orders as go to one backend server
/// at a time when many of its keys move.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// Why a call has no answer.
#[derive(Debug, Error)]
pub enum CallError {
    /// Nothing was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// It was sent, and may have been carried out.
    #[error("no answer: {0}")]
    OutcomeUnknown(String),
}

/// Limits how long an answer may take.
pub trait ReadTimeout {
    /// How long its next part may still take.
    fn remaining(&self) -> Duration;

    /// A part of it has arrived.
    fn progressed(&mut self);
}

/// Limits the time to the begin of an answer, and the time without a further part.
#[derive(Debug)]
pub struct IdleTimeout {
    deadline: Instant,
    idle_limit: Duration,
}

impl IdleTimeout {
    /// Both count from now on.
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

/// Limits the whole answer.
struct Deadline(Instant);

impl ReadTimeout for Deadline {
    fn remaining(&self) -> Duration {
        self.0.saturating_duration_since(Instant::now())
    }

    fn progressed(&mut self) {}
}

#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl Drop for Connection {
    /// Ends the socket at once. It is set to reset, so that a call which is
    /// still held up on its way arrives no more.
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// A client of one address.
#[derive(Debug, Clone)]
pub struct HttpClient {
    address: SocketAddr,
    max_bytes: usize,
    idle: Arc<Mutex<Vec<Connection>>>,
}

impl HttpClient {
    /// A client that reads answers of at most `most` bytes; nothing is sent yet.
    pub fn new(address: SocketAddr, max_bytes: usize) -> Self {
        Self {
            address,
            max_bytes,
            idle: Arc::default(),
        }
    }

    /// Sends a request and reads its whole answer, all within `span`: what is not
    /// sent by then is never sent, and what is under way is reset.
    ///
    /// # Errors
    /// [`CallError::NotSent`] only if the other side has surely seen nothing.
    pub async fn call(
        &self,
        request: Request<Bytes>,
        time_limit: Duration,
    ) -> Result<Response<Bytes>, CallError> {
        let deadline = Instant::now() + time_limit;
        self.fetch(request, &mut Deadline(deadline)).await
    }

    /// Sends a request and reads its whole answer, until `limit` is over;
    /// then what is under way is reset.
    ///
    /// # Errors
    /// [`CallError::NotSent`] only if the other side has surely seen nothing.
    pub async fn fetch(
        &self,
        mut request: Request<Bytes>,
        limit: &mut impl ReadTimeout,
    ) -> Result<Response<Bytes>, CallError> {
        let host = HeaderValue::from_str(&self.address.to_string()).map_err(not_sent)?;
        request.headers_mut().insert(header::HOST, host);
        let connection = timeout(limit.remaining(), self.connection()).await;
        let mut connection = connection.map_err(not_sent)??;
        let sent = connection.sender.send_request(request.map(Full::new));
        let sent = timeout(limit.remaining(), sent)
            .await
            .map_err(|_| timed_out(0))?;
        let (head, body) = sent.map_err(outcome_unknown)?.into_parts();
        let bytes = self.read_body(body, limit).await?;
        let mut idle = self.idle();
        if idle.len() < MAX_IDLE_CONNECTIONS && !connection.sender.is_closed() {
            idle.push(connection);
        }
        Ok(Response::from_parts(head, bytes))
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
                return Err(outcome_unknown(format!(
                    "it is longer than {} bytes",
                    self.max_bytes
                )));
            }
            bytes.extend_from_slice(&data);
            limit.progressed();
        }
    }

    async fn connection(&self) -> Result<Connection, CallError> {
        if let Some(connection) = self.take_idle() {
            return Ok(connection);
        }
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await;
        let stream = connected.map_err(not_sent)?.map_err(not_sent)?;
        configure_socket(&stream).map_err(not_sent)?;
        let (sender, driver) = handshake(TokioIo::new(stream)).await.map_err(not_sent)?;
        let address = self.address;
        let driver = tokio::spawn(async move {
            if let Err(error) = driver.await {
                log::debug!("connection to {address} ended: {error}");
            }
        });
        let driver = driver.abort_handle();
        Ok(Connection { sender, driver })
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle();
        idle.retain(|connection| !connection.sender.is_closed());
        let index = idle
            .iter()
            .rposition(|connection| connection.sender.is_ready())?;
        Some(idle.remove(index))
    }

    fn idle(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Makes a connection end with a reset, and a silent one end at all.
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
