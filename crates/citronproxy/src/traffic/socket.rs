//! A connection's socket, with an exact count of what went through it.

use {
    crate::clock::Clock,
    citron_core::{routing::Snapshot, time::Time},
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

/// The leave under which the next request may begin to be written.
#[derive(Debug, Clone)]
pub struct WritePermit {
    /// What the request was routed by.
    pub snapshot: Arc<Snapshot>,
    /// Whether the owner is in the instance's own failure domain.
    pub is_own_domain: bool,
    /// The service's grace.
    pub grace: Duration,
}

impl WritePermit {
    /// Whether a request may be written now.
    pub fn allows(&self, now: Time) -> bool {
        let confirmation = &self.snapshot.confirmation;
        confirmation.allows(now, self.is_own_domain, self.grace)
    }
}

/// What is known of a connection's socket.
#[derive(Debug)]
pub struct SocketState {
    clock: Clock,
    written_bytes: Cell<u64>,
    last_read: Cell<Time>,
    permit: RefCell<Option<WritePermit>>,
    is_write_denied: Cell<bool>,
}

impl SocketState {
    /// A wire that has just been connected.
    pub fn new(clock: Clock) -> Rc<Self> {
        Rc::new(Self {
            clock,
            written_bytes: Cell::new(0),
            last_read: Cell::new(clock.now()),
            permit: RefCell::new(None),
            is_write_denied: Cell::new(false),
        })
    }

    /// Bytes handed to the kernel so far. If an exchange leaves it unchanged,
    /// the server has surely seen nothing of the request.
    pub fn written_bytes(&self) -> u64 {
        self.written_bytes.get()
    }

    /// When bytes last arrived, or when the connection was made.
    pub fn last_read(&self) -> Time {
        self.last_read.get()
    }

    /// Sets the leave that the first write of the next request needs.
    pub fn set_permit(&self, permit: WritePermit) {
        self.is_write_denied.set(false);
        self.permit.replace(Some(permit));
    }

    /// Whether the leave had ended when the request was to be written.
    pub fn is_write_denied(&self) -> bool {
        self.is_write_denied.get()
    }

    /// Reads the clock right before the first byte of a request is written: a
    /// thread that was paused for longer than its leave would else send to an
    /// owner that was replaced meanwhile, and the request would run twice.
    fn check_permit(&self) -> io::Result<()> {
        let Some(permit) = self.permit.take() else {
            return Ok(());
        };
        if permit.allows(self.clock.now()) {
            return Ok(());
        }
        self.is_write_denied.set(true);
        let reason = "the leave to route has ended";
        Err(io::Error::new(ErrorKind::PermissionDenied, reason))
    }

    fn count_written(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = written {
            self.written_bytes
                .set(self.written_bytes.get() + *bytes as u64);
        }
    }
}

/// The socket itself.
#[derive(Debug)]
pub struct TrackedStream {
    stream: TcpStream,
    socket: Rc<SocketState>,
}

impl TrackedStream {
    /// Watches a socket.
    pub fn new(stream: TcpStream, socket: Rc<SocketState>) -> Self {
        Self { stream, socket }
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.socket.last_read.set(self.socket.clock.now());
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
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.socket.count_written(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.socket.check_permit()?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.socket.count_written(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
