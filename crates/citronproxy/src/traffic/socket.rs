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
pub struct Leave {
    /// What the request was routed by.
    pub snapshot: Arc<Snapshot>,
    /// Whether the owner is in the instance's own failure domain.
    pub own: bool,
    /// The service's grace.
    pub grace: Duration,
}

impl Leave {
    /// Whether a request may be written now.
    pub fn allows(&self, now: Time) -> bool {
        let confirmation = &self.snapshot.confirmation;
        confirmation.allows(now, self.own, self.grace)
    }
}

/// What is known of a connection's socket.
#[derive(Debug)]
pub struct Wire {
    clock: Clock,
    written: Cell<u64>,
    heard: Cell<Time>,
    leave: RefCell<Option<Leave>>,
    refused: Cell<bool>,
}

impl Wire {
    /// A wire that has just been connected.
    pub fn new(clock: Clock) -> Rc<Self> {
        Rc::new(Self {
            clock,
            written: Cell::new(0),
            heard: Cell::new(clock.now()),
            leave: RefCell::new(None),
            refused: Cell::new(false),
        })
    }

    /// Bytes handed to the kernel so far. If an exchange leaves it unchanged,
    /// the server has surely seen nothing of the request.
    pub fn written(&self) -> u64 {
        self.written.get()
    }

    /// When bytes last arrived, or when the connection was made.
    pub fn heard(&self) -> Time {
        self.heard.get()
    }

    /// Sets the leave that the first write of the next request needs.
    pub fn arm(&self, leave: Leave) {
        self.refused.set(false);
        self.leave.replace(Some(leave));
    }

    /// Whether the leave had ended when the request was to be written.
    pub fn refused(&self) -> bool {
        self.refused.get()
    }

    /// Reads the clock right before the first byte of a request is written: a
    /// thread that was paused for longer than its leave would else send to an
    /// owner that was replaced meanwhile, and the request would run twice.
    fn check(&self) -> io::Result<()> {
        let Some(leave) = self.leave.take() else {
            return Ok(());
        };
        if leave.allows(self.clock.now()) {
            return Ok(());
        }
        self.refused.set(true);
        let reason = "the leave to route has ended";
        Err(io::Error::new(ErrorKind::PermissionDenied, reason))
    }

    fn count(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = written {
            self.written.set(self.written.get() + *bytes as u64);
        }
    }
}

/// The socket itself.
#[derive(Debug)]
pub struct WireStream {
    stream: TcpStream,
    wire: Rc<Wire>,
}

impl WireStream {
    /// Watches a socket.
    pub fn new(stream: TcpStream, wire: Rc<Wire>) -> Self {
        Self { stream, wire }
    }
}

impl AsyncRead for WireStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.wire.heard.set(self.wire.clock.now());
        }
        read
    }
}

impl AsyncWrite for WireStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.wire.check()?;
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.wire.count(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.wire.check()?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.wire.count(&written);
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
