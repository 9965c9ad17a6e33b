//! Client request bodies, streamed to backend servers.

use {
    bytes::Bytes,
    http_body::{Body, Frame, SizeHint},
    hyper::body::Incoming,
    std::{
        cell::RefCell,
        future::poll_fn,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll, ready},
    },
    thiserror::Error,
};

/// Default maximum number of bytes of a body that are buffered, so that it can be sent
/// again after a refusal.
pub const REPLAY_MAX_BYTES: usize = 64 * 1_024;

/// Reason why a body could not be read to its end.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The client disconnected or sent a malformed body.
    #[error("reading the client's request body failed: {0}")]
    Client(#[from] hyper::Error),
    /// An earlier read of the body failed.
    #[error("an earlier read of the request body failed")]
    AlreadyFailed,
    /// The body exceeds the limit.
    #[error("request body exceeds {max_bytes} bytes")]
    TooLarge {
        /// Limit in bytes.
        max_bytes: u64,
    },
}

/// Progress of reading a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadState {
    Open,
    Complete,
    Truncated,
    TooLarge,
}

/// Request body of a client, with a copy of its beginning as long as that is small
/// enough.
#[derive(Debug)]
pub struct ClientBody {
    state: RefCell<BufferState>,
    hint: SizeHint,
    max_bytes: u64,
    max_buffered: usize,
}

#[derive(Debug)]
struct BufferState {
    incoming: Option<Incoming>,
    buffered: Vec<Bytes>,
    read_bytes: u64,
    /// Whether the copy was discarded, as more than `max_buffered` bytes were read.
    is_discarded: bool,
    read_state: ReadState,
}

impl ClientBody {
    /// Creates a body of at most `max_bytes`, of which up to `max_buffered` bytes are
    /// buffered. `None` is an empty body.
    pub fn new(incoming: Option<Incoming>, max_bytes: u64, max_buffered: usize) -> Rc<Self> {
        let hint = match &incoming {
            Some(incoming) => incoming.size_hint(),
            None => SizeHint::with_exact(0),
        };
        let read_state = match incoming.as_ref().is_none_or(Body::is_end_stream) {
            true => ReadState::Complete,
            false => ReadState::Open,
        };
        let state = BufferState {
            incoming,
            buffered: Vec::new(),
            read_bytes: 0,
            is_discarded: false,
            read_state,
        };
        Rc::new(Self {
            state: RefCell::new(state),
            hint,
            max_bytes,
            max_buffered,
        })
    }

    /// Whether the body can be sent from its beginning.
    pub fn is_replayable(&self) -> bool {
        !self.state.borrow().is_discarded
    }

    /// Whether the body was read completely from the client.
    pub fn is_complete(&self) -> bool {
        self.state.borrow().read_state == ReadState::Complete
    }

    /// Whether the client disconnected within the body or sent a malformed one.
    pub fn is_truncated(&self) -> bool {
        self.state.borrow().read_state == ReadState::Truncated
    }

    /// Whether the body exceeds the limit.
    pub fn is_too_large(&self) -> bool {
        self.state.borrow().read_state == ReadState::TooLarge
    }

    /// Length that the client declared; 0 if it declared none.
    pub fn declared_length(&self) -> u64 {
        self.hint.exact().unwrap_or(0)
    }

    /// Copy of the body as far as it was read; empty once the copy was discarded.
    pub fn buffered(&self) -> Vec<u8> {
        self.state.borrow().buffered.concat()
    }

    /// Reads a small body completely, so that its content is known before it is sent. A
    /// large body or one of unknown length is not read.
    pub async fn buffer_if_small(&self) {
        let is_small = |length| length <= self.max_buffered as u64;
        while self.hint.exact().is_some_and(is_small) && !self.is_ended() {
            let _ = poll_fn(|cx| self.poll(cx)).await;
        }
    }

    /// Reads a body of any length until it ends or its copy is discarded.
    pub async fn buffer_prefix(&self) {
        while !self.is_ended() && self.is_replayable() {
            let _ = poll_fn(|cx| self.poll(cx)).await;
        }
    }

    fn is_ended(&self) -> bool {
        self.state.borrow().read_state != ReadState::Open
    }

    fn poll(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        let mut state = self.state.borrow_mut();
        // After an error the library reports a regular end of the body, and a retry would
        // forward part of a body as a complete one.
        if matches!(state.read_state, ReadState::Truncated | ReadState::TooLarge) {
            return Poll::Ready(Some(Err(BodyError::AlreadyFailed)));
        }
        loop {
            let frame = match &mut state.incoming {
                Some(incoming) => ready!(Pin::new(incoming).poll_frame(cx)),
                None => None,
            };
            let data = match frame {
                None => {
                    state.read_state = ReadState::Complete;
                    return Poll::Ready(None);
                }
                Some(Err(error)) => {
                    state.read_state = ReadState::Truncated;
                    return Poll::Ready(Some(Err(error.into())));
                }
                Some(Ok(frame)) => frame.into_data(),
            };
            // Trailers are not forwarded.
            if let Ok(data) = data {
                return Poll::Ready(Some(state.accept(data, self.max_bytes, self.max_buffered)));
            }
        }
    }
}

impl BufferState {
    fn accept(
        &mut self,
        data: Bytes,
        max_bytes: u64,
        max_buffered: usize,
    ) -> Result<Bytes, BodyError> {
        self.read_bytes += data.len() as u64;
        if self.read_bytes > max_bytes {
            self.read_state = ReadState::TooLarge;
            return Err(BodyError::TooLarge { max_bytes });
        }
        if self.incoming.as_ref().is_none_or(Body::is_end_stream) {
            self.read_state = ReadState::Complete;
        }
        if self.read_bytes > max_buffered as u64 {
            self.is_discarded = true;
            self.buffered.clear();
        } else {
            self.buffered.push(data.clone());
        }
        Ok(data)
    }
}

/// Body of one attempt, read from a [`ClientBody`].
#[derive(Debug)]
pub struct UpstreamBody {
    body: Rc<ClientBody>,
    next: usize,
}

impl UpstreamBody {
    /// Creates a body from the beginning; the client's body must be replayable.
    pub fn new(body: &Rc<ClientBody>) -> Self {
        let body = Rc::clone(body);
        Self { body, next: 0 }
    }

    fn next_buffered(&mut self) -> Option<Bytes> {
        let data = self.body.state.borrow().buffered.get(self.next).cloned()?;
        self.next += 1;
        Some(data)
    }
}

impl Body for UpstreamBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(data) = self.next_buffered() {
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        if self.body.is_complete() {
            return Poll::Ready(None);
        }
        let polled = ready!(self.body.poll(cx));
        // The data just read may have been buffered as well, and must not be sent again.
        let buffered = self.body.state.borrow().buffered.len();
        self.next = buffered;
        Poll::Ready(polled.map(|data| data.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        let state = self.body.state.borrow();
        state.read_state == ReadState::Complete && self.next >= state.buffered.len()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.hint
    }
}
