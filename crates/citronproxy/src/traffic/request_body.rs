//! Client request bodies, streamed to backend servers.
//!
//! A copy of the beginning is kept, so that the body can be sent again as long as nothing
//! behind the copy has been read. After that, only the attempt that has received all bytes so
//! far gets the rest; any other one fails before its message looks complete.

use {
    super::buffer_budget::{BufferBudget, Reservation},
    bytes::Bytes,
    http_body::{Body, Frame, SizeHint},
    hyper::body::Incoming,
    std::{
        cell::RefCell,
        future::poll_fn,
        pin::Pin,
        rc::{Rc, Weak},
        task::{Context, Poll, ready},
    },
    thiserror::Error,
};

/// Default maximum number of bytes of a body that are buffered, so that it can be sent
/// again after a refusal.
pub const REPLAY_MAX_BYTES: usize = 64 * 1_024;
/// Memory that each part of a copy takes beside its bytes. A client may send chunks of one
/// byte.
const PART_OVERHEAD: usize = 64;
/// Largest part of a body that is not whole by which it is told from others.
const IDENTITY_MAX_BYTES: usize = 16 * 1_024;

/// Reason why a body could not be read to its end.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The client disconnected or sent a malformed body.
    #[error("reading the client's request body failed: {0}")]
    Client(#[from] hyper::Error),
    /// An earlier read of the body failed.
    #[error("an earlier read of the request body failed")]
    AlreadyFailed,
    /// Another attempt has read bytes of which there is no copy.
    #[error("part of the request body was read by another attempt")]
    NotWhole,
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

/// Limits of the copies of bodies.
#[derive(Debug, Clone)]
pub struct BufferLimits {
    /// Size of the copy of one body above which no more is added to it, in bytes.
    pub per_body: usize,
    /// Memory for the copies of all bodies.
    pub budget: Rc<BufferBudget>,
}

/// Request body of a client, with a copy of its beginning as long as nothing behind the copy
/// has been read.
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
    reservation: Reservation,
    buffered_bytes: u64,
    read_bytes: u64,
    /// Whether nothing more is added to the copy.
    is_full: bool,
    /// Beginning of a body that was not complete when it was first sent.
    identity: Option<Bytes>,
    read_state: ReadState,
}

impl ClientBody {
    /// Creates a body of at most `max_bytes`. `None` is an empty body.
    pub fn new(incoming: Option<Incoming>, max_bytes: u64, limits: &BufferLimits) -> Rc<Self> {
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
            reservation: Reservation::new(&limits.budget),
            buffered_bytes: 0,
            read_bytes: 0,
            is_full: false,
            identity: None,
            read_state,
        };
        Rc::new(Self {
            state: RefCell::new(state),
            hint,
            max_bytes,
            max_buffered: limits.per_body,
        })
    }

    /// Whether the body can be sent from its beginning.
    pub fn is_replayable(&self) -> bool {
        self.state.borrow().is_whole()
    }

    /// Whether the body can be sent twice at the same time.
    pub fn is_buffered(&self) -> bool {
        self.is_complete() && self.is_replayable()
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

    /// Bytes by which the body is told from others: the copy, or if that is full, the beginning
    /// of what was known when the body was first sent. The latter is the same before, between
    /// and after attempts.
    pub fn identity(&self) -> Vec<u8> {
        let state = self.state.borrow();
        match &state.identity {
            Some(identity) if state.is_full => identity.to_vec(),
            _ => state.beginning(),
        }
    }

    /// Reads a small body completely, so that its content is known before it is sent. A
    /// large body or one of unknown length is not read.
    pub async fn buffer_if_small(&self) {
        if self
            .hint
            .exact()
            .is_some_and(|length| length <= self.max_buffered as u64)
        {
            self.buffer_prefix().await;
        }
    }

    /// Reads a body of any length until it ends or its copy is full. What is read is kept.
    pub async fn buffer_prefix(&self) {
        while !self.is_ended() && !self.state.borrow().is_full {
            // An error ends the body, and is reported by its state.
            let _ = poll_fn(|cx| self.poll(cx, BufferState::append)).await;
        }
    }

    fn is_ended(&self) -> bool {
        self.state.borrow().read_state != ReadState::Open
    }

    fn poll(
        &self,
        cx: &mut Context<'_>,
        keep: impl Fn(&mut BufferState, &Bytes, usize),
    ) -> Poll<Option<Result<Bytes, BodyError>>> {
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
                let accepted = state.accept(&data, self.max_bytes);
                if accepted.is_ok() {
                    keep(&mut state, &data, self.max_buffered);
                }
                return Poll::Ready(Some(accepted.map(|()| data)));
            }
        }
    }
}

impl BufferState {
    /// Whether the copy contains all that was read.
    fn is_whole(&self) -> bool {
        self.buffered_bytes == self.read_bytes
    }

    /// Counts bytes that were read.
    fn accept(&mut self, data: &Bytes, max_bytes: u64) -> Result<(), BodyError> {
        self.read_bytes += data.len() as u64;
        if self.read_bytes > max_bytes {
            self.read_state = ReadState::TooLarge;
            return Err(BodyError::TooLarge { max_bytes });
        }
        if self.incoming.as_ref().is_none_or(Body::is_end_stream) {
            self.read_state = ReadState::Complete;
        }
        Ok(())
    }

    /// Adds bytes that no attempt has received to the copy. It is full once it has reached its
    /// limits, and may exceed them by these bytes.
    fn append(&mut self, data: &Bytes, max_buffered: usize) {
        let is_within = self.reservation.grow(data.len() + PART_OVERHEAD);
        self.buffered.push(data.clone());
        self.buffered_bytes += data.len() as u64;
        self.is_full = !is_within || self.buffered_bytes >= max_buffered as u64;
    }

    /// Adds bytes that an attempt receives to the copy, or discards the copy if it is full.
    fn append_or_discard(&mut self, data: &Bytes, max_buffered: usize) {
        let size = self.buffered_bytes + data.len() as u64;
        let has_room = !self.is_full && size <= max_buffered as u64;
        if has_room && self.reservation.grow(data.len() + PART_OVERHEAD) {
            self.buffered.push(data.clone());
            self.buffered_bytes = size;
            return;
        }
        self.is_full = true;
        self.buffered.clear();
        self.buffered_bytes = 0;
        self.reservation.release();
    }

    /// The copy, or its beginning if it is full and the body goes on.
    fn beginning(&self) -> Vec<u8> {
        let max_bytes = match self.is_full && self.read_state != ReadState::Complete {
            true => IDENTITY_MAX_BYTES,
            false => usize::MAX,
        };
        let mut bytes = Vec::new();
        for part in &self.buffered {
            let room = max_bytes - bytes.len();
            bytes.extend_from_slice(&part[..part.len().min(room)]);
        }
        bytes
    }

    /// Keeps the beginning of a body that is not complete when it is first sent.
    fn keep_identity(&mut self) {
        if self.read_state != ReadState::Complete && self.identity.is_none() {
            self.identity = Some(self.beginning().into());
        }
    }
}

/// Tells whether a body is still being read. The HTTP library drops it at its end.
#[derive(Debug, Default)]
pub struct BodyWatch(Weak<()>);

impl BodyWatch {
    /// Whether the body is still being read.
    pub fn is_open(&self) -> bool {
        self.0.strong_count() > 0
    }
}

/// Body of one attempt, read from a [`ClientBody`].
#[derive(Debug)]
pub struct UpstreamBody {
    body: Rc<ClientBody>,
    /// Observed by a [`BodyWatch`].
    liveness: Rc<()>,
    /// Index of the next part of the copy.
    next: usize,
    received_bytes: u64,
}

impl UpstreamBody {
    /// Creates a body from the beginning. If the client's body is no longer whole, it fails
    /// when it is read.
    pub fn new(body: &Rc<ClientBody>) -> Self {
        body.state.borrow_mut().keep_identity();
        Self {
            body: Rc::clone(body),
            liveness: Rc::default(),
            next: 0,
            received_bytes: 0,
        }
    }

    /// Watches the body until it is dropped.
    pub fn watch(&self) -> BodyWatch {
        BodyWatch(Rc::downgrade(&self.liveness))
    }

    fn next_buffered(&mut self) -> Option<Bytes> {
        let data = self.body.state.borrow().buffered.get(self.next).cloned()?;
        self.next += 1;
        self.received_bytes += data.len() as u64;
        Some(data)
    }

    /// Whether this attempt has received all that was read from the client.
    fn is_current(&self) -> bool {
        self.received_bytes == self.body.state.borrow().read_bytes
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
        if !self.is_current() {
            return Poll::Ready(Some(Err(BodyError::NotWhole)));
        }
        if self.body.is_complete() {
            return Poll::Ready(None);
        }
        let polled = ready!(self.body.poll(cx, BufferState::append_or_discard));
        if let Some(Ok(data)) = &polled {
            self.received_bytes += data.len() as u64;
        }
        // The data just read may have been added to the copy, and must not be sent again.
        let buffered = self.body.state.borrow().buffered.len();
        self.next = buffered;
        Poll::Ready(polled.map(|data| data.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_complete() && self.is_current()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.hint
    }
}
