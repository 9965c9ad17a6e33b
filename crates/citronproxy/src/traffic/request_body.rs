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
pub const REPLAY_MAX: usize = 64 * 1_024;

/// Why a body could not be read to its end.
#[derive(Debug, Error)]
pub enum UploadError {
    /// The caller broke off or sent a malformed body.
    #[error("the caller's body: {0}")]
    Caller(#[from] hyper::Error),
    /// It could not be read before.
    #[error("the body was cut short before")]
    Ended,
    /// The caller sent more than is allowed.
    #[error("the body is larger than {max} bytes")]
    TooLarge {
        /// The most that is allowed.
        max: u64,
    },
}

/// How far a body has got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Open,
    Whole,
    Cut,
    TooLarge,
}

/// A caller's body, and a copy of its begin while that is small.
#[derive(Debug)]
pub struct Source {
    state: RefCell<State>,
    hint: SizeHint,
    max: u64,
    keep: usize,
}

#[derive(Debug)]
struct State {
    incoming: Option<Incoming>,
    kept: Vec<Bytes>,
    size: u64,
    /// Parts were passed on that are kept no more.
    gone: bool,
    end: End,
}

impl Source {
    /// The source of a body of at most `max` bytes, of which up to `keep` are
    /// kept; `None` for an empty one.
    pub fn new(incoming: Option<Incoming>, max: u64, keep: usize) -> Rc<Self> {
        let hint = match &incoming {
            Some(incoming) => incoming.size_hint(),
            None => SizeHint::with_exact(0),
        };
        let end = match incoming.as_ref().is_none_or(Body::is_end_stream) {
            true => End::Whole,
            false => End::Open,
        };
        let state = State {
            incoming,
            kept: Vec::new(),
            size: 0,
            gone: false,
            end,
        };
        Rc::new(Self {
            state: RefCell::new(state),
            hint,
            max,
            keep,
        })
    }

    /// Whether the body can be sent from its begin.
    pub fn replayable(&self) -> bool {
        !self.state.borrow().gone
    }

    /// Whether the whole body was read from the caller.
    pub fn whole(&self) -> bool {
        self.state.borrow().end == End::Whole
    }

    /// Whether the caller broke off or sent a malformed body.
    pub fn cut(&self) -> bool {
        self.state.borrow().end == End::Cut
    }

    /// Whether the caller sent more than is allowed.
    pub fn too_large(&self) -> bool {
        self.state.borrow().end == End::TooLarge
    }

    /// The length that the caller told; 0 if it told none.
    pub fn length(&self) -> u64 {
        self.hint.exact().unwrap_or(0)
    }

    /// The body as far as it was read; empty once parts of it are kept no more.
    pub fn kept(&self) -> Vec<u8> {
        self.state.borrow().kept.concat()
    }

    /// Reads a small body whole, so that it is known before it is sent. One that
    /// is large or of unknown length is left alone.
    pub async fn fill(&self) {
        let small = |length| length <= self.keep as u64;
        while self.hint.exact().is_some_and(small) && !self.ended() {
            let _ = poll_fn(|cx| self.poll(cx)).await;
        }
    }

    /// Reads as much as is kept of a body of any length.
    pub async fn fill_kept(&self) {
        while !self.ended() && self.replayable() {
            let _ = poll_fn(|cx| self.poll(cx)).await;
        }
    }

    fn ended(&self) -> bool {
        self.state.borrow().end != End::Open
    }

    fn poll(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, UploadError>>> {
        let mut state = self.state.borrow_mut();
        // After an error the library tells an ordinary end: a retry would pass a
        // part of a body on as the whole.
        if matches!(state.end, End::Cut | End::TooLarge) {
            return Poll::Ready(Some(Err(UploadError::Ended)));
        }
        loop {
            let frame = match &mut state.incoming {
                Some(incoming) => ready!(Pin::new(incoming).poll_frame(cx)),
                None => None,
            };
            let data = match frame {
                None => {
                    state.end = End::Whole;
                    return Poll::Ready(None);
                }
                Some(Err(error)) => {
                    state.end = End::Cut;
                    return Poll::Ready(Some(Err(error.into())));
                }
                Some(Ok(frame)) => frame.into_data(),
            };
            // Trailers are hop-by-hop here and end with us.
            if let Ok(data) = data {
                return Poll::Ready(Some(state.take(data, self.max, self.keep)));
            }
        }
    }
}

impl State {
    fn take(&mut self, data: Bytes, max: u64, keep: usize) -> Result<Bytes, UploadError> {
        self.size += data.len() as u64;
        if self.size > max {
            self.end = End::TooLarge;
            return Err(UploadError::TooLarge { max });
        }
        if self.incoming.as_ref().is_none_or(Body::is_end_stream) {
            self.end = End::Whole;
        }
        if self.size > keep as u64 {
            self.gone = true;
            self.kept.clear();
        } else {
            self.kept.push(data.clone());
        }
        Ok(data)
    }
}

/// One sending of a source.
#[derive(Debug)]
pub struct Upload {
    source: Rc<Source>,
    next: usize,
}

impl Upload {
    /// A sending from the begin; the source must be replayable.
    pub fn new(source: &Rc<Source>) -> Self {
        let source = Rc::clone(source);
        Self { source, next: 0 }
    }

    fn kept(&mut self) -> Option<Bytes> {
        let data = self.source.state.borrow().kept.get(self.next).cloned()?;
        self.next += 1;
        Some(data)
    }
}

impl Body for Upload {
    type Data = Bytes;
    type Error = UploadError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, UploadError>>> {
        if let Some(data) = self.kept() {
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        if self.source.whole() {
            return Poll::Ready(None);
        }
        let polled = ready!(self.source.poll(cx));
        // What was just read may have been kept, and was passed on.
        let kept = self.source.state.borrow().kept.len();
        self.next = kept;
        Poll::Ready(polled.map(|data| data.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        let state = self.source.state.borrow();
        state.end == End::Whole && self.next >= state.kept.len()
    }

    fn size_hint(&self) -> SizeHint {
        self.source.hint
    }
}
