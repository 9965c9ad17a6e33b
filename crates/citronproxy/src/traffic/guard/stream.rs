//! Client socket that passes only validated messages to the HTTP library.

use {
    super::{
        HeadLimit, Refusal,
        chunked::ChunkedValidator,
        head::Framing,
        lookahead::{self, Lookahead},
    },
    crate::traffic::Limits,
    bytes::{Buf, Bytes, BytesMut},
    std::{
        io::{self, ErrorKind, IoSlice},
        pin::Pin,
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
        time::{Sleep, sleep},
    },
    tokio_util::io::poll_read_buf,
};

/// Size in bytes of one read while a head is incomplete.
const READ_BYTES: usize = 8 * 1_024;
/// Maximum number of bytes of pipelined requests that are read while a request is being
/// answered.
const READ_AHEAD_BYTES: usize = 16 * 1_024;
/// How long unread bytes of a client are discarded before its connection is closed.
/// Closing a socket with unread bytes resets the connection, and the response could be
/// lost.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Position in the stream of requests.
#[derive(Debug)]
enum Mode {
    /// In a head of which this many bytes were scanned.
    Head(usize),
    /// In a body with this many bytes remaining.
    Body(u64),
    /// In a chunked body.
    Chunked(ChunkedValidator),
    /// After a refused message; further bytes are discarded.
    Refused,
}

type Timer = Option<Pin<Box<Sleep>>>;

/// Client socket that passes only validated messages to its reader.
#[derive(Debug)]
pub struct GuardStream {
    stream: TcpStream,
    limits: Limits,
    head_limit: HeadLimit,
    mode: Mode,
    /// Bytes that were read from the socket and not yet passed on.
    unread: BytesMut,
    /// Number of unread bytes that are validated.
    checked_bytes: usize,
    /// Whether a request is being answered.
    is_responding: bool,
    /// Whether the client closed its side or the connection failed.
    is_closed: bool,
    lookahead: Lookahead,
    /// Whether the head passed on last was announced by [`Self::poll_pipelined`].
    was_announced: bool,
    head_timer: Timer,
    write_timer: Timer,
    linger_timer: Timer,
}

impl GuardStream {
    /// Wraps a socket whose reader has a buffer of `buffer` bytes for a head.
    pub fn new(stream: TcpStream, limits: Limits, buffer: usize) -> Self {
        let configured = limits.max_head_bytes;
        Self {
            stream,
            limits,
            head_limit: HeadLimit { configured, buffer },
            mode: Mode::Head(0),
            unread: BytesMut::new(),
            checked_bytes: 0,
            is_responding: false,
            is_closed: false,
            lookahead: Lookahead::default(),
            was_announced: false,
            head_timer: None,
            write_timer: None,
            linger_timer: None,
        }
    }

    /// Sets the maximum size in bytes of the heads that follow.
    pub fn set_max_head_bytes(&mut self, bytes: usize) {
        self.head_limit.configured = bytes;
    }

    /// Marks the start of a response. Returns whether its request was announced by
    /// [`Self::poll_pipelined`] before. Until [`Self::end_response`] no further head is
    /// passed on; pipelined heads are announced meanwhile if `allow_ahead` is set.
    pub fn begin_response(&mut self, allow_ahead: bool) -> bool {
        self.is_responding = true;
        if !allow_ahead {
            self.lookahead.pause();
        }
        std::mem::take(&mut self.was_announced)
    }

    /// Marks the current response as known, so that the next head can be passed on.
    pub fn end_response(&mut self) {
        self.is_responding = false;
    }

    /// Returns the next pipelined head without a body while a request is being answered.
    /// `None` if the client disconnected; its pipelined requests should be cancelled.
    pub fn poll_pipelined(&mut self, cx: &mut Context<'_>) -> Poll<Option<Bytes>> {
        while self.is_held() && !self.is_closed {
            if let Some(head) = self.lookahead.next(&self.unread, self.head_limit) {
                return Poll::Ready(Some(head));
            }
            if self.unread.len() >= READ_AHEAD_BYTES {
                return Poll::Pending;
            }
            self.unread.reserve(READ_BYTES);
            let read = poll_read_buf(Pin::new(&mut self.stream), cx, &mut self.unread);
            match ready!(read) {
                Ok(read) if read > 0 => {}
                Ok(_) | Err(_) => {
                    self.is_closed = true;
                    return Poll::Ready(None);
                }
            }
        }
        Poll::Pending
    }

    /// Whether the next head is held back until the current request is answered.
    fn is_held(&self) -> bool {
        self.is_responding && self.checked_bytes == 0 && matches!(self.mode, Mode::Head(_))
    }

    fn copy_checked(&mut self, out: &mut ReadBuf<'_>) {
        let consumed = self.checked_bytes.min(out.remaining());
        out.put_slice(&self.unread[..consumed]);
        self.unread.advance(consumed);
        self.checked_bytes -= consumed;
    }

    /// Validates the unread bytes up to the end of a head, or as far as they belong to a
    /// body.
    fn check_unread(&mut self) -> io::Result<()> {
        match &mut self.mode {
            Mode::Head(scanned) => {
                match lookahead::find_head(&self.unread, *scanned, self.head_limit) {
                    Ok(None) => *scanned = self.unread.len(),
                    Ok(Some((end, framing))) => self.begin_body(end, framing),
                    Err(refusal) => self.refuse(refusal),
                }
            }
            Mode::Body(_) | Mode::Chunked(_) => self.checked_bytes = self.consume_body(None)?,
            Mode::Refused => self.unread.clear(),
        }
        Ok(())
    }

    fn begin_body(&mut self, end: usize, framing: Framing) {
        self.head_timer = None;
        self.checked_bytes = end;
        self.was_announced = self.lookahead.advance(end);
        self.mode = match framing {
            Framing::Length(0) => Mode::Head(0),
            Framing::Length(length) => Mode::Body(length),
            Framing::Chunked => Mode::Chunked(ChunkedValidator::new()),
        };
    }

    fn refuse(&mut self, refusal: Refusal) {
        self.unread = refusal.substitute_request().as_slice().into();
        self.checked_bytes = self.unread.len();
        self.mode = Mode::Refused;
        self.head_timer = None;
    }

    /// Advances through a body by `bytes`, or by the unread bytes if `None`. Returns how
    /// many bytes belong to the body.
    fn consume_body(&mut self, bytes: Option<&[u8]>) -> io::Result<usize> {
        let bytes = bytes.unwrap_or(&self.unread);
        let (consumed, is_done) = match &mut self.mode {
            Mode::Body(remaining) => {
                let consumed = usize::try_from(*remaining)
                    .unwrap_or(usize::MAX)
                    .min(bytes.len());
                *remaining -= consumed as u64;
                (consumed, *remaining == 0)
            }
            Mode::Chunked(chunked) => {
                let consumed = chunked.consume(bytes).map_err(|_| invalid_chunk())?;
                (consumed, chunked.is_done())
            }
            Mode::Head(_) | Mode::Refused => (0, false),
        };
        if is_done {
            self.mode = Mode::Head(0);
        }
        Ok(consumed)
    }

    /// Reads part of a body directly into `out`; bytes beyond the end of the body become
    /// unread bytes.
    fn poll_body(&mut self, cx: &mut Context<'_>, out: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = out.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, out))?;
        let read = &out.filled()[before..];
        let consumed = self.consume_body(Some(read))?;
        self.unread.extend_from_slice(&read[consumed..]);
        out.set_filled(before + consumed);
        Poll::Ready(Ok(()))
    }

    /// Reads more of a head. Returns `false` at the end of the stream.
    fn poll_head(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<bool>> {
        self.unread.reserve(READ_BYTES);
        match poll_read_buf(Pin::new(&mut self.stream), cx, &mut self.unread)? {
            Poll::Ready(read) => Poll::Ready(Ok(read > 0)),
            Poll::Pending => self.poll_head_timeout(cx),
        }
    }

    /// Fails if the client has not sent a complete head within the timeout. Each
    /// connection holds a descriptor and memory, and many slow clients would exhaust
    /// both.
    fn poll_head_timeout(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<bool>> {
        if self.unread.is_empty() {
            return Poll::Pending;
        }
        let timeout = self.limits.head_timeout;
        let timer = self
            .head_timer
            .get_or_insert_with(|| Box::pin(sleep(timeout)));
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(Err(ErrorKind::TimedOut.into()))
    }

    /// Fails if the client has not read the response within the timeout, since the
    /// response holds a slot of the backend server. `done` is the result of the write.
    fn poll_write_timeout<T>(
        &mut self,
        cx: &mut Context<'_>,
        done: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if done.is_ready() {
            self.write_timer = None;
            return done;
        }
        let timeout = self.limits.write_timeout;
        let timer = self
            .write_timer
            .get_or_insert_with(|| Box::pin(sleep(timeout)));
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(Err(ErrorKind::TimedOut.into()))
    }

    /// Whether the client may still be sending bytes that will not be read.
    fn has_unread_request(&self) -> bool {
        !matches!(self.mode, Mode::Head(_))
    }
}

fn invalid_chunk() -> io::Error {
    io::Error::new(ErrorKind::InvalidData, "malformed chunk in body")
}

impl AsyncRead for GuardStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.is_held() {
            // `poll_pipelined` reads meanwhile and detects the end of the stream.
            return match this.is_closed {
                true => Poll::Ready(Ok(())),
                false => Poll::Pending,
            };
        }
        loop {
            if this.checked_bytes == 0 && !this.unread.is_empty() {
                this.check_unread()?;
            }
            if this.checked_bytes > 0 {
                this.copy_checked(out);
                return Poll::Ready(Ok(()));
            }
            if matches!(this.mode, Mode::Body(_) | Mode::Chunked(_)) {
                return this.poll_body(cx, out);
            }
            if !ready!(this.poll_head(cx))? {
                return Poll::Ready(Ok(()));
            }
        }
    }
}

impl AsyncWrite for GuardStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.poll_write_timeout(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.poll_write_timeout(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
        if !self.has_unread_request() {
            return Poll::Ready(Ok(()));
        }
        let timer = self
            .linger_timer
            .get_or_insert_with(|| Box::pin(sleep(LINGER_TIMEOUT)));
        if timer.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Ok(()));
        }
        loop {
            let mut buffer = [0; READ_BYTES];
            let mut read = ReadBuf::new(&mut buffer);
            ready!(Pin::new(&mut self.stream).poll_read(cx, &mut read))?;
            if read.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
        }
    }
}
