//! The guarded socket.

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

/// Bytes read at a time while a head is looked for.
const READ_BYTES: usize = 8 * 1_024;
/// Bytes of further requests that are read while one is answered.
const READ_AHEAD_BYTES: usize = 16 * 1_024;
/// How long unread bytes of a caller are thrown away before its connection is
/// closed: a close with bytes unread resets it, and the answer could be lost.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Where the stream of requests stands.
#[derive(Debug)]
enum Mode {
    /// In a head; so many bytes of it were scanned.
    Head(usize),
    /// In a body with so many bytes to come.
    Body(u64),
    /// In a chunked body.
    Chunked(ChunkedValidator),
    /// After a refusal: whatever else comes is ignored.
    Refused,
}

type Timer = Option<Pin<Box<Sleep>>>;

/// A caller's socket that passes on checked messages only.
#[derive(Debug)]
pub struct GuardStream {
    stream: TcpStream,
    limits: Limits,
    head_limit: HeadLimit,
    mode: Mode,
    /// Read, and not passed on yet.
    unread: BytesMut,
    /// How many of the unread bytes are checked.
    checked_bytes: usize,
    /// Whether a request is being answered.
    is_responding: bool,
    /// The caller has closed its side, or the connection broke.
    is_closed: bool,
    lookahead: Lookahead,
    /// Whether the head that had its turn last was told ahead of it.
    was_announced: bool,
    head_timer: Timer,
    write_timer: Timer,
    linger_timer: Timer,
}

impl GuardStream {
    /// Guards a socket for a reader of heads of up to `room` bytes.
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

    /// Heads may have so many bytes from now on.
    pub fn set_max_head_bytes(&mut self, bytes: usize) {
        self.head_limit.configured = bytes;
    }

    /// The answer to a request begins to be worked out; whether the request was
    /// told ahead of its turn. Until [`Self::answered`] no further head is passed
    /// on; heads are told by [`Self::poll_pipelined`] if `ahead` allows it.
    pub fn begin_response(&mut self, allow_ahead: bool) -> bool {
        self.is_responding = true;
        if !allow_ahead {
            self.lookahead.pause();
        }
        std::mem::take(&mut self.was_announced)
    }

    /// The answer is known.
    pub fn end_response(&mut self) {
        self.is_responding = false;
    }

    /// The next head without a body that came while a request is being answered.
    /// `None` if the caller has gone: its requests are to be given up.
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

    /// Whether the next head waits for the answer to the one before it.
    fn is_held(&self) -> bool {
        self.is_responding && self.checked_bytes == 0 && matches!(self.mode, Mode::Head(_))
    }

    fn copy_checked(&mut self, out: &mut ReadBuf<'_>) {
        let consumed = self.checked_bytes.min(out.remaining());
        out.put_slice(&self.unread[..consumed]);
        self.unread.advance(consumed);
        self.checked_bytes -= consumed;
    }

    /// Checks the unread bytes as far as they go.
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

    /// Follows a body through `bytes`, or through the unread ones; tells how many
    /// belong to it.
    fn consume_body(&mut self, bytes: Option<&[u8]>) -> io::Result<usize> {
        let bytes = bytes.unwrap_or(&self.unread);
        let (consumed, done) = match &mut self.mode {
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
        if done {
            self.mode = Mode::Head(0);
        }
        Ok(consumed)
    }

    /// Reads a part of a body right into `out`; what is beyond its end is kept.
    fn poll_body(&mut self, cx: &mut Context<'_>, out: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = out.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, out))?;
        let read = &out.filled()[before..];
        let consumed = self.consume_body(Some(read))?;
        self.unread.extend_from_slice(&read[consumed..]);
        out.set_filled(before + consumed);
        Poll::Ready(Ok(()))
    }

    /// Reads on in a head; `false` at the end of the stream.
    fn poll_head(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<bool>> {
        self.unread.reserve(READ_BYTES);
        match poll_read_buf(Pin::new(&mut self.stream), cx, &mut self.unread)? {
            Poll::Ready(read) => Poll::Ready(Ok(read > 0)),
            Poll::Pending => self.poll_head_timeout(cx),
        }
    }

    /// Ends a connection whose caller sends a head too slowly: each one holds a
    /// descriptor and memory, and slow ones in number would use up both.
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

    /// Ends a connection whose caller reads its answer no more: the answer holds
    /// a slot of the backend server.
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

    /// Whether the caller may still be sending what nobody will read.
    fn has_unread_request(&self) -> bool {
        !matches!(self.mode, Mode::Head(_))
    }
}

fn invalid_chunk() -> io::Error {
    io::Error::new(ErrorKind::InvalidData, "a malformed chunk")
}

impl AsyncRead for GuardStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.is_held() {
            // `poll_ahead` reads meanwhile, and sees the end.
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
