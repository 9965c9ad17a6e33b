//! Answers: a server's, whole or streamed, and our own.

use {
    super::{attempt::Slot, pooled_connection::Kept},
    bytes::Bytes,
    http::{HeaderValue, Response, StatusCode, header},
    http_body::{Body, Frame, SizeHint},
    hyper::body::Incoming,
    std::{
        pin::Pin,
        task::{Context, Poll, ready},
        time::Duration,
    },
};

/// When to come back to an instance whose configuration may be out of date.
pub const START_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The body of an answer.
#[derive(Debug)]
pub enum AnswerBody {
    /// Known whole.
    Whole(Option<Bytes>),
    /// Passed on as it comes. An error breaks the caller's connection before the
    /// end of the message, so that no caller takes a part for the whole.
    Streamed(Box<Streamed>),
}

/// A body whose begin has been read already.
#[derive(Debug)]
pub struct Streamed {
    /// What was read.
    pub begin: Option<Bytes>,
    /// What comes.
    pub rest: Incoming,
    /// The connection; dropped, and so reset, before its end.
    pub kept: Option<Kept>,
    /// The server's slot.
    pub slot: Option<Slot>,
}

impl AnswerBody {
    /// A body known whole.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()).filter(|bytes: &Bytes| !bytes.is_empty()))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Streamed(streamed) => streamed.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Streamed(_) => SizeHint::default(),
        }
    }
}

impl Streamed {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        if let Some(begin) = self.begin.take() {
            return Poll::Ready(Some(Ok(Frame::data(begin))));
        }
        let frame = ready!(Pin::new(&mut self.rest).poll_frame(cx));
        match &frame {
            None => self.end(),
            Some(Err(_)) => drop(self.kept.take()),
            Some(Ok(_)) => {}
        }
        Poll::Ready(frame)
    }

    fn end(&mut self) {
        if let Some(kept) = self.kept.take() {
            kept.give();
        }
        if let Some(slot) = self.slot.take() {
            slot.ran();
        }
    }
}

/// An answer of our own.
pub fn own(status: StatusCode, reason: &str) -> Response<AnswerBody> {
    let mut answer = Response::new(AnswerBody::whole(format!("{reason}\n")));
    *answer.status_mut() = status;
    answer
}

/// The promise that a request has not run, and when to come back.
pub fn reject_with_retry(again: Duration, reason: &str) -> Response<AnswerBody> {
    let mut answer = own(StatusCode::SERVICE_UNAVAILABLE, reason);
    let seconds = format!("{:.2}", again.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        answer.headers_mut().insert(header::RETRY_AFTER, value);
    }
    answer
}
