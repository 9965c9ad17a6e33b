//! The caller's body on its way to a backend server.

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

/// How much of a body is usually kept, so that it can be sent again after a
/// refusal.
pub const REPLAY_MAX_BYTES: usize = 64 * 1_024;

/// Why a body could not be read to its end.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The caller broke off or sent a malformed body.
    #[error("the caller's body: {0}")]
    Client(#[from] hyper::Error),
    /// It could not be read before.
    #[error("the body was cut short before")]
    AlreadyFailed,
    /// The caller sent more than is allowed.
    #[error("the body is larger than {max_bytes} bytes")]
    TooLarge {
        /// The most that is allowed.
        max_bytes: u64,
    },
}

/// How far a body has got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadState {
    Open,
    Complete,
    Truncated,
    TooLarge,
}

/// A caller's body, and a copy of its begin while that is small.
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
    /// Parts were passed on that are kept no more.
    is_discarded: bool,
    read_state: ReadState,
}

impl ClientBody {
    /// The source of a body of at most `max` bytes, of which up to `keep` are
    /// kept; `None` for an empty one.
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

    /// Whether the body can be sent from its begin.
    pub fn is_replayable(&self) -> bool {
        !self.state.borrow().is_discarded
    }

    /// Whether the whole body was read from the caller.
    pub fn is_complete(&self) -> bool {
        self.state.borrow().read_state == ReadState::Complete
    }

    /// Whether the caller broke off or sent a malformed body.
    pub fn is_truncated(&self) -> bool {
        self.state.borrow().read_state == ReadState::Truncated
    }

    /// Whether the caller sent more than is allowed.
    pub fn is_too_large(&self) -> bool {
        self.state.borrow().read_state == ReadState::TooLarge
    }

    /// The length that the caller told; 0 if it told none.
    pub fn declared_length(&self) -> u64 {
        self.hint.exact().unwrap_or(0)
    }

    /// The body as far as it was read; empty once parts of it are kept no more.
    pub fn buffered(&self) -> Vec<u8> {
        self.state.borrow().buffered.concat()
    }

    /// Reads a small body whole, so that it is known before it is sent. One that
    /// is large or of unknown length is left alone.
    pub async fn buffer_if_small(&self) {
        let is_small = |length| length <= self.max_buffered as u64;
        while self.hint.exact().is_some_and(is_small) && !self.is_ended() {
            let _ = poll_fn(|cx| self.poll(cx)).await;
        }
    }

    /// Reads as much as is kept of a body of any length.
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
        // After an error the library tells an ordinary end: a retry would pass a
        // part of a body on as the whole.
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
            // Trailers are hop-by-hop here and end with us.
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

/// One sending of a source.
#[derive(Debug)]
pub struct UpstreamBody {
    body: Rc<ClientBody>,
    next: usize,
}

impl UpstreamBody {
    /// A sending from the begin; the source must be replayable.
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
        // What was just read may have been kept, and was passed on.
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
