//! Response bodies: those of backend servers, and short local ones.

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

/// Maximum time for which a server may pause within a response.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Size of a response in bytes above which its duration is no measure of the server's
/// load.
const LARGE_BODY_BYTES: usize = 64 * 1_024;

/// Reason why a response ends early. The client connection is then closed without the end
/// of the message, so that no client takes a partial response for a complete one.
#[derive(Debug, Error)]
pub enum ResponseBodyError {
    /// The connection to the server failed.
    #[error("response truncated: {0}")]
    Truncated(#[from] hyper::Error),
    /// The server sent nothing for too long.
    #[error("server sent nothing of the response for {STALL_TIMEOUT:?}")]
    Stalled,
    /// The client has stopped waiting.
    #[error("the response did not end before the client's deadline")]
    DeadlinePassed,
}

/// Body of a streamed or of a local response.
#[derive(Debug)]
pub enum ResponseBody {
    /// Body of a backend server's response, streamed frame by frame.
    Streamed(Box<StreamedBody>),
    /// Body of a response that the instance generated.
    Local(Full<Bytes>),
}

/// Body of a backend server's response, with the exchange that ends with it.
#[derive(Debug)]
pub struct StreamedBody {
    body: Incoming,
    exchange: Option<Exchange>,
    slot: Option<Slot>,
    bytes: usize,
    stall_timer: Option<Pin<Box<Sleep>>>,
}

impl StreamedBody {
    /// Streams the body of an exchange; `slot` is released at its end.
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
        // The duration of a large body depends on the client's bandwidth, not on the
        // server.
        let is_small = exchange.is_replayable() && self.bytes <= LARGE_BODY_BYTES;
        exchange.finish();
        if let Some(mut slot) = self.slot.take()
            && is_small
        {
            slot.set_release(ReleaseReason::Answered);
        }
    }

    /// Ends the exchange without a complete response.
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
                if let Some(exchange) = &self.exchange {
                    exchange.record_progress();
                }
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
