//! Socket with a limit of the bytes that are read, whose end proves that the request was written.

use {
    crate::ReadBudget,
    std::{
        io::{self, ErrorKind, IoSlice},
        pin::Pin,
        task::{Context, Poll},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// Socket that stops reading when its budget is exceeded. The stream of a peer that has not
/// received the whole request never ends properly: a response that only the end of the stream
/// delimits would look complete wherever it was cut.
#[derive(Debug)]
pub(crate) struct MeteredStream {
    stream: TcpStream,
    budget: ReadBudget,
    /// Whether bytes wait to be written. None do after a flush.
    has_unwritten: bool,
}

impl MeteredStream {
    /// Wraps a connected socket.
    pub(crate) fn new(stream: TcpStream, budget: ReadBudget) -> Self {
        Self {
            stream,
            budget,
            has_unwritten: false,
        }
    }
}

impl AsyncRead for MeteredStream {
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
        if is_end && self.has_unwritten {
            let reason = "the stream ended before the request was written";
            return Poll::Ready(Err(io::Error::new(ErrorKind::UnexpectedEof, reason)));
        }
        self.budget.spend(size)?;
        read
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.has_unwritten = true;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.has_unwritten = true;
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.has_unwritten = false;
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
