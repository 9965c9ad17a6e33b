//! The guarded socket.

use {
    super::{
        HeadSize, Refusal,
        chunked::Chunks,
        head::Framing,
        lookahead::{self, Ahead},
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
const READ: usize = 8 * 1_024;
/// Bytes of further requests that are read while one is answered.
const READ_AHEAD: usize = 16 * 1_024;
/// How long unread bytes of a caller are thrown away before its connection is
/// closed: a close with bytes unread resets it, and the answer could be lost.
const LINGER: Duration = Duration::from_secs(1);

/// Where the stream of requests stands.
#[derive(Debug)]
enum Mode {
    /// In a head; so many bytes of it were scanned.
    Head(usize),
    /// In a body with so many bytes to come.
    Body(u64),
    /// In a chunked body.
    Chunks(Chunks),
    /// After a refusal: whatever else comes is ignored.
    Refused,
}

type Timer = Option<Pin<Box<Sleep>>>;

/// A caller's socket that passes on checked messages only.
#[derive(Debug)]
pub struct GuardStream {
    stream: TcpStream,
    limits: Limits,
    head: HeadSize,
    mode: Mode,
    /// Read, and not passed on yet.
    unread: BytesMut,
    /// How many of the unread bytes are checked.
    checked: usize,
    /// Whether a request is being answered.
    busy: bool,
    /// The caller has closed its side, or the connection broke.
    over: bool,
    ahead: Ahead,
    /// Whether the head that had its turn last was told ahead of it.
    told: bool,
    slow: Timer,
    stall: Timer,
    linger: Timer,
}

impl GuardStream {
    /// Guards a socket for a reader of heads of up to `room` bytes.
    pub fn new(stream: TcpStream, limits: Limits, room: usize) -> Self {
        let allowed = limits.head;
        Self {
            stream,
            limits,
            head: HeadSize { allowed, room },
            mode: Mode::Head(0),
            unread: BytesMut::new(),
            checked: 0,
            busy: false,
            over: false,
            ahead: Ahead::default(),
            told: false,
            slow: None,
            stall: None,
            linger: None,
        }
    }

    /// Heads may have so many bytes from now on.
    pub fn allow_head(&mut self, bytes: usize) {
        self.head.allowed = bytes;
    }

    /// The answer to a request begins to be worked out; whether the request was
    /// told ahead of its turn. Until [`Self::answered`] no further head is passed
    /// on; heads are told by [`Self::poll_ahead`] if `ahead` allows it.
    pub fn begin(&mut self, ahead: bool) -> bool {
        self.busy = true;
        if !ahead {
            self.ahead.stop();
        }
        std::mem::take(&mut self.told)
    }

    /// The answer is known.
    pub fn answered(&mut self) {
        self.busy = false;
    }

    /// The next head without a body that came while a request is being answered.
    /// `None` if the caller has gone: its requests are to be given up.
    pub fn poll_ahead(&mut self, cx: &mut Context<'_>) -> Poll<Option<Bytes>> {
        while self.is_held() && !self.over {
            if let Some(head) = self.ahead.next(&self.unread, self.head) {
                return Poll::Ready(Some(head));
            }
            if self.unread.len() >= READ_AHEAD {
                return Poll::Pending;
            }
            self.unread.reserve(READ);
            let read = poll_read_buf(Pin::new(&mut self.stream), cx, &mut self.unread);
            match ready!(read) {
                Ok(read) if read > 0 => {}
                Ok(_) | Err(_) => {
                    self.over = true;
                    return Poll::Ready(None);
                }
            }
        }
        Poll::Pending
    }

    /// Whether the next head waits for the answer to the one before it.
    fn is_held(&self) -> bool {
        self.busy && self.checked == 0 && matches!(self.mode, Mode::Head(_))
    }

    fn pass(&mut self, out: &mut ReadBuf<'_>) {
        let taken = self.checked.min(out.remaining());
        out.put_slice(&self.unread[..taken]);
        self.unread.advance(taken);
        self.checked -= taken;
    }

    /// Checks the unread bytes as far as they go.
    fn check(&mut self) -> io::Result<()> {
        match &mut self.mode {
            Mode::Head(scanned) => match lookahead::find(&self.unread, *scanned, self.head) {
                Ok(None) => *scanned = self.unread.len(),
                Ok(Some((end, framing))) => self.begin_body(end, framing),
                Err(refusal) => self.refuse(refusal),
            },
            Mode::Body(_) | Mode::Chunks(_) => self.checked = self.follow(None)?,
            Mode::Refused => self.unread.clear(),
        }
        Ok(())
    }

    fn begin_body(&mut self, end: usize, framing: Framing) {
        self.slow = None;
        self.checked = end;
        self.told = self.ahead.turn(end);
        self.mode = match framing {
            Framing::Length(0) => Mode::Head(0),
            Framing::Length(length) => Mode::Body(length),
            Framing::Chunked => Mode::Chunks(Chunks::new()),
        };
    }

    fn refuse(&mut self, refusal: Refusal) {
        self.unread = refusal.stand_in().as_slice().into();
        self.checked = self.unread.len();
        self.mode = Mode::Refused;
        self.slow = None;
    }

    /// Follows a body through `bytes`, or through the unread ones; tells how many
    /// belong to it.
    fn follow(&mut self, bytes: Option<&[u8]>) -> io::Result<usize> {
        let bytes = bytes.unwrap_or(&self.unread);
        let (taken, done) = match &mut self.mode {
            Mode::Body(left) => {
                let taken = usize::try_from(*left)
                    .unwrap_or(usize::MAX)
                    .min(bytes.len());
                *left -= taken as u64;
                (taken, *left == 0)
            }
            Mode::Chunks(chunks) => {
                let taken = chunks.follow(bytes).map_err(|_| bad_chunk())?;
                (taken, chunks.done())
            }
            Mode::Head(_) | Mode::Refused => (0, false),
        };
        if done {
            self.mode = Mode::Head(0);
        }
        Ok(taken)
    }

    /// Reads a part of a body right into `out`; what is beyond its end is kept.
    fn poll_body(&mut self, cx: &mut Context<'_>, out: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = out.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, out))?;
        let read = &out.filled()[before..];
        let taken = self.follow(Some(read))?;
        self.unread.extend_from_slice(&read[taken..]);
        out.set_filled(before + taken);
        Poll::Ready(Ok(()))
    }

    /// Reads on in a head; `false` at the end of the stream.
    fn poll_head(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<bool>> {
        self.unread.reserve(READ);
        match poll_read_buf(Pin::new(&mut self.stream), cx, &mut self.unread)? {
            Poll::Ready(read) => Poll::Ready(Ok(read > 0)),
            Poll::Pending => self.poll_slow(cx),
        }
    }

    /// Ends a connection whose caller sends a head too slowly: each one holds a
    /// descriptor and memory, and slow ones in number would use up both.
    fn poll_slow(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<bool>> {
        if self.unread.is_empty() {
            return Poll::Pending;
        }
        let time = self.limits.slow;
        let slow = self.slow.get_or_insert_with(|| Box::pin(sleep(time)));
        ready!(slow.as_mut().poll(cx));
        Poll::Ready(Err(ErrorKind::TimedOut.into()))
    }

    /// Ends a connection whose caller reads its answer no more: the answer holds
    /// a slot of the backend server.
    fn watch<T>(&mut self, cx: &mut Context<'_>, done: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if done.is_ready() {
            self.stall = None;
            return done;
        }
        let time = self.limits.stall;
        let stall = self.stall.get_or_insert_with(|| Box::pin(sleep(time)));
        ready!(stall.as_mut().poll(cx));
        Poll::Ready(Err(ErrorKind::TimedOut.into()))
    }

    /// Whether the caller may still be sending what nobody will read.
    fn unfinished(&self) -> bool {
        !matches!(self.mode, Mode::Head(_))
    }
}

fn bad_chunk() -> io::Error {
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
            return match this.over {
                true => Poll::Ready(Ok(())),
                false => Poll::Pending,
            };
        }
        loop {
            if this.checked == 0 && !this.unread.is_empty() {
                this.check()?;
            }
            if this.checked > 0 {
                this.pass(out);
                return Poll::Ready(Ok(()));
            }
            if matches!(this.mode, Mode::Body(_) | Mode::Chunks(_)) {
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
        self.watch(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.watch(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
        if !self.unfinished() {
            return Poll::Ready(Ok(()));
        }
        let linger = self.linger.get_or_insert_with(|| Box::pin(sleep(LINGER)));
        if linger.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Ok(()));
        }
        loop {
            let mut buffer = [0; READ];
            let mut read = ReadBuf::new(&mut buffer);
            ready!(Pin::new(&mut self.stream).poll_read(cx, &mut read))?;
            if read.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
        }
    }
}
