//! The body of an answer: the backend server's, or a short one of ours.

use {
    super::{exchange::Exchange, limiters::Slot},
    bytes::Bytes,
    citron_core::admission::ReleaseReason,
    http_body::{Body, Frame, SizeHint},
    http_body_util::Full,
    hyper::body::Incoming,
    std::{
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
    thiserror::Error,
    tokio::time::{Sleep, sleep},
};

/// How long a server may pause within an answer.
const PAUSE_MAX: Duration = Duration::from_secs(30);

/// Bytes of an answer above which its time says nothing of the server.
const LARGE: usize = 64 * 1_024;

/// Why an answer ends before its end. The caller's connection is closed without
/// the end of the message, so that no caller takes a part for the whole.
#[derive(Debug, Error)]
pub enum AnswerError {
    /// The server's connection broke.
    #[error("the answer was cut short: {0}")]
    Cut(#[from] hyper::Error),
    /// The server paused for too long.
    #[error("the answer stopped for longer than {PAUSE_MAX:?}")]
    Stopped,
}

/// A body that is streamed through, or that is ours.
#[derive(Debug)]
pub enum AnswerBody {
    /// The backend server's, frame by frame.
    Streamed(Box<Streamed>),
    /// Ours.
    Own(Full<Bytes>),
}

/// The backend server's body, and the exchange that it ends.
#[derive(Debug)]
pub struct Streamed {
    body: Incoming,
    exchange: Option<Exchange>,
    slot: Option<Slot>,
    size: usize,
    pause: Option<Pin<Box<Sleep>>>,
}

impl Streamed {
    /// Passes on the body of an exchange.
    pub fn new(body: Incoming, exchange: Exchange, slot: Option<Slot>) -> Self {
        let mut streamed = Self {
            body,
            exchange: Some(exchange),
            slot,
            size: 0,
            pause: None,
        };
        streamed.finish_at_end();
        streamed
    }

    fn finish_at_end(&mut self) {
        if !self.body.is_end_stream() {
            return;
        }
        self.finish();
    }

    fn finish(&mut self) {
        let Some(exchange) = self.exchange.take() else {
            return;
        };
        // The time of a large body tells of the caller's line, not of the server.
        let small = exchange.is_small() && self.size <= LARGE;
        exchange.finish();
        if let Some(mut slot) = self.slot.take()
            && small
        {
            slot.note(ReleaseReason::Answered);
        }
    }

    /// Ends it without an answer that is whole.
    fn abandon(&mut self) {
        self.exchange = None;
        self.slot = None;
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, AnswerError>>> {
        match Pin::new(&mut self.body).poll_frame(cx) {
            Poll::Pending => self.poll_pause(cx),
            Poll::Ready(None) => {
                self.finish();
                Poll::Ready(None)
            }
            Poll::Ready(Some(Ok(frame))) => {
                self.pause = None;
                self.size += frame.data_ref().map_or(0, Bytes::len);
                self.finish_at_end();
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                self.abandon();
                Poll::Ready(Some(Err(error.into())))
            }
        }
    }

    fn poll_pause(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerError>>> {
        let pause = self.pause.get_or_insert_with(|| Box::pin(sleep(PAUSE_MAX)));
        if pause.as_mut().poll(cx).is_pending() {
            return Poll::Pending;
        }
        self.abandon();
        Poll::Ready(Some(Err(AnswerError::Stopped)))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = AnswerError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerError>>> {
        match self.get_mut() {
            Self::Streamed(streamed) => streamed.poll(cx),
            Self::Own(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Streamed(streamed) => streamed.body.is_end_stream(),
            Self::Own(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Streamed(streamed) => streamed.body.size_hint(),
            Self::Own(body) => body.size_hint(),
        }
    }
}
