//! Sockets to backend servers, with exact counts of the bytes written.

use {
    super::request_body::BodyWatch,
    crate::clock::Clock,
    citron_core::{routing::Snapshot, time::Time},
    citron_ports::ReadBudget,
    std::{
        cell::{Cell, RefCell},
        io::{self, ErrorKind, IoSlice},
        pin::Pin,
        rc::Rc,
        sync::Arc,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// Bytes that a server may send from the beginning of a request, or from any part of the
/// response, to the next part. Several times as much as a head, or a buffer of the connection.
const PART_BYTES_MAX: usize = 256 * 1_024;

/// Permit to start writing one request.
#[derive(Debug, Clone)]
pub struct WritePermit {
    /// Snapshot by which the request was routed.
    pub snapshot: Arc<Snapshot>,
    /// Whether the owner is in the instance's own failure domain.
    pub is_own_domain: bool,
    /// Grace period of the service.
    pub grace: Duration,
}

impl WritePermit {
    /// Whether the routing lease allows the write at this time.
    pub fn allows(&self, now: Time) -> bool {
        let confirmation = &self.snapshot.confirmation;
        confirmation.allows(now, self.is_own_domain, self.grace)
    }
}

/// State of a connection's socket.
#[derive(Debug)]
pub struct SocketState {
    clock: Clock,
    written_bytes: Cell<u64>,
    last_read: Cell<Time>,
    permit: RefCell<Option<WritePermit>>,
    is_write_denied: Cell<bool>,
    body: RefCell<BodyWatch>,
    budget: ReadBudget,
}

impl SocketState {
    /// Creates the state of a new connection.
    pub fn new(clock: Clock) -> Rc<Self> {
        Rc::new(Self {
            clock,
            written_bytes: Cell::new(0),
            last_read: Cell::new(clock.now()),
            permit: RefCell::new(None),
            is_write_denied: Cell::new(false),
            body: RefCell::default(),
            budget: ReadBudget::new(PART_BYTES_MAX),
        })
    }

    /// Records that the connection was checked out, or that a part of a response was received.
    /// Reading fails if too many bytes come without either.
    pub fn record_progress(&self) {
        self.budget.reset();
    }

    /// Sets the body of the request that is sent next.
    pub fn set_body(&self, body: BodyWatch) {
        self.body.replace(body);
    }

    /// Number of bytes handed to the kernel. If it does not change during an exchange,
    /// the server has received nothing of the request.
    pub fn written_bytes(&self) -> u64 {
        self.written_bytes.get()
    }

    /// Time of the last read that returned bytes, or of the connect.
    pub fn last_read(&self) -> Time {
        self.last_read.get()
    }

    /// Sets the permit that the first write of the next request requires.
    pub fn set_permit(&self, permit: WritePermit) {
        self.is_write_denied.set(false);
        self.permit.replace(Some(permit));
    }

    /// Whether the permit was no longer valid when the request was to be written.
    pub fn is_write_denied(&self) -> bool {
        self.is_write_denied.get()
    }

    /// Reads the clock right before the first byte of a request is written. Otherwise a
    /// thread that was paused for longer than its routing lease would send to an owner
    /// that was replaced meanwhile, and the request could run twice.
    fn check_permit(&self) -> io::Result<()> {
        let Some(permit) = self.permit.take() else {
            return Ok(());
        };
        if permit.allows(self.clock.now()) {
            return Ok(());
        }
        self.is_write_denied.set(true);
        let reason = "routing lease expired";
        Err(io::Error::new(ErrorKind::PermissionDenied, reason))
    }

    fn count_written(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = written {
            self.written_bytes
                .set(self.written_bytes.get() + *bytes as u64);
        }
    }
}

/// Socket that records reads and writes in its [`SocketState`].
///
/// A server may reject a request before it has read the body, and close the connection. The
/// response is then received although writing fails, so that a failed write ends the exchange
/// only when nothing more can be read.
///
/// The stream of a server that has not received the whole request never ends properly. On Linux,
/// a failed write takes the reset with it, and reads return the end of the stream instead; and a
/// process that ends closes its sockets as well. A response that only the end of the stream
/// delimits would look complete wherever it was cut.
#[derive(Debug)]
pub struct TrackedStream {
    stream: TcpStream,
    socket: Rc<SocketState>,
    has_write_failed: bool,
    /// Whether bytes wait to be written. None do after a flush.
    has_unwritten: bool,
}

impl TrackedStream {
    /// Wraps a connected socket.
    pub fn new(stream: TcpStream, socket: Rc<SocketState>) -> Self {
        Self {
            stream,
            socket,
            has_write_failed: false,
            has_unwritten: false,
        }
    }

    /// Whether the request in progress is written completely.
    fn is_written(&self) -> bool {
        !self.has_unwritten && !self.socket.body.borrow().is_open()
    }

    /// Result of a write; pending from the first one on that failed as the peer has closed the
    /// connection. What it has sent before remains to be read.
    fn after_write(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        self.socket.count_written(&written);
        let is_closed_by_peer = |error: &io::Error| {
            matches!(
                error.kind(),
                ErrorKind::ConnectionReset | ErrorKind::BrokenPipe
            )
        };
        match &written {
            Poll::Ready(Err(error)) if is_closed_by_peer(error) => {
                if !std::mem::replace(&mut self.has_write_failed, true) {
                    cx.waker().wake_by_ref();
                }
                Poll::Pending
            }
            _ => written,
        }
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let has_room = buf.remaining() > 0;
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        let size = buf.filled().len() - before;
        let is_end = has_room && size == 0 && matches!(read, Poll::Ready(Ok(())));
        if is_end && !self.is_written() {
            let reason = "the stream ended before the request was written";
            return Poll::Ready(Err(io::Error::new(ErrorKind::UnexpectedEof, reason)));
        }
        if size > 0 {
            self.socket.last_read.set(self.socket.clock.now());
            self.socket.budget.spend(size)?;
        }
        read
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.socket.check_permit()?;
        self.has_unwritten = true;
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.after_write(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.socket.check_permit()?;
        self.has_unwritten = true;
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.after_write(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.has_unwritten = false;
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
