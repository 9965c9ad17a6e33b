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
const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Bytes of an answer above which its time says nothing of the server.
const LARGE_BODY_BYTES: usize = 64 * 1_024;

/// Why an answer ends before its end. The caller's connection is closed without
/// the end of the message, so that no caller takes a part for the whole.
#[derive(Debug, Error)]
pub enum ResponseBodyError {
    /// The server's connection broke.
    #[error("the answer was cut short: {0}")]
    Truncated(#[from] hyper::Error),
    /// The server paused for too long.
    #[error("the answer stopped for longer than {STALL_TIMEOUT:?}")]
    Stalled,
}

/// A body that is streamed through, or that is ours.
#[derive(Debug)]
pub enum ResponseBody {
    /// The backend server's, frame by frame.
    Streamed(Box<StreamedBody>),
    /// Ours.
    Local(Full<Bytes>),
}

/// The backend server's body, and the exchange that it ends.
#[derive(Debug)]
pub struct StreamedBody {
    body: Incoming,
    exchange: Option<Exchange>,
    slot: Option<Slot>,
    bytes: usize,
    stall_timer: Option<Pin<Box<Sleep>>>,
}

impl StreamedBody {
    /// Passes on the body of an exchange.
    pub fn new(body: Incoming, exchange: Exchange, slot: Option<Slot>) -> Self {
        let mut streamed = Self {
            body,
            exchange: Some(exchange),
            slot,
            bytes: 0,
            stall_timer: None,
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
        let is_small = exchange.is_replayable() && self.bytes <= LARGE_BODY_BYTES;
        exchange.finish();
        if let Some(mut slot) = self.slot.take()
            && is_small
        {
            slot.set_release(ReleaseReason::Answered);
        }
    }

    /// Ends it without an answer that is whole.
    fn abandon(&mut self) {
        self.exchange = None;
        self.slot = None;
    }

    fn poll(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseBodyError>>> {
        match Pin::new(&mut self.body).poll_frame(cx) {
            Poll::Pending => self.poll_stall(cx),
            Poll::Ready(None) => {
                self.finish();
                Poll::Ready(None)
            }
            Poll::Ready(Some(Ok(frame))) => {
                self.stall_timer = None;
                self.bytes += frame.data_ref().map_or(0, Bytes::len);
                self.finish_at_end();
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                self.abandon();
                Poll::Ready(Some(Err(error.into())))
            }
        }
    }

    fn poll_stall(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseBodyError>>> {
        let timer = self
            .stall_timer
            .get_or_insert_with(|| Box::pin(sleep(STALL_TIMEOUT)));
        if timer.as_mut().poll(cx).is_pending() {
            return Poll::Pending;
        }
        self.abandon();
        Poll::Ready(Some(Err(ResponseBodyError::Stalled)))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = ResponseBodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseBodyError>>> {
        match self.get_mut() {
            Self::Streamed(streamed) => streamed.poll(cx),
            Self::Local(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Streamed(streamed) => streamed.body.is_end_stream(),
            Self::Local(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Streamed(streamed) => streamed.body.size_hint(),
            Self::Local(body) => body.size_hint(),
        }
    }
}
