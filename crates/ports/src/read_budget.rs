//! Limit of the bytes that a peer may send without completing what is waited for.

use {
    std::{
        io::{self, ErrorKind, IoSlice},
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        task::{Context, Poll},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// Bytes that may be read from a connection until the budget is reset. Clones share it.
///
/// HTTP libraries limit heads and trailers, but read interim responses, empty lines and chunk
/// sizes without end, and a body of any length.
///
/// ```
/// use citron_ports::ReadBudget;
/// let budget = ReadBudget::new(100);
/// assert!(budget.spend(60).is_ok());
/// assert!(budget.spend(60).is_err());
/// budget.reset();
/// assert!(budget.spend(60).is_ok());
/// ```
#[derive(Debug, Clone)]
pub struct ReadBudget {
    limit: usize,
    remaining: Arc<AtomicUsize>,
}

impl ReadBudget {
    /// Creates a budget of this many bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            remaining: Arc::new(AtomicUsize::new(limit)),
        }
    }

    /// Allows the full number of bytes again.
    pub fn reset(&self) {
        self.remaining.store(self.limit, Ordering::Relaxed);
    }

    /// Takes bytes that were read.
    ///
    /// # Errors
    /// If the budget is exceeded.
    pub fn spend(&self, bytes: usize) -> io::Result<()> {
        let remaining = self.remaining.load(Ordering::Relaxed);
        match remaining.checked_sub(bytes) {
            Some(remaining) => {
                self.remaining.store(remaining, Ordering::Relaxed);
                Ok(())
            }
            None => {
                let reason = format!("over {} bytes that complete nothing", self.limit);
                Err(io::Error::new(ErrorKind::InvalidData, reason))
            }
        }
    }
}

/// Socket that stops reading when its budget is exceeded.
#[derive(Debug)]
pub(crate) struct MeteredStream {
    pub(crate) stream: TcpStream,
    pub(crate) budget: ReadBudget,
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.budget.spend(buf.filled().len() - before)?;
        read
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
