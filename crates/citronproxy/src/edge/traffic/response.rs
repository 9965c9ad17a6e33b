//! Answers: a server's, whole or streamed, and our own.

use {
    super::{attempt::InFlightGuard, pooled_connection::PooledConnection},
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
pub const STALE_CONFIG_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The body of an answer.
#[derive(Debug)]
pub enum ResponseBody {
    /// Known whole.
    Buffered(Option<Bytes>),
    /// Passed on as it comes. An error breaks the caller's connection before the
    /// end of the message, so that no caller takes a part for the whole.
    Streaming(Box<StreamingBody>),
}

/// A body whose begin has been read already.
#[derive(Debug)]
pub struct StreamingBody {
    /// What was read.
    pub prefix: Option<Bytes>,
    /// What comes.
    pub rest: Incoming,
    /// The connection; dropped, and so reset, before its end.
    pub connection: Option<PooledConnection>,
    /// The server's slot.
    pub in_flight: Option<InFlightGuard>,
}

impl ResponseBody {
    /// A body known whole.
    pub fn buffered(bytes: impl Into<Bytes>) -> Self {
        Self::Buffered(Some(bytes.into()).filter(|bytes: &Bytes| !bytes.is_empty()))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            Self::Buffered(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Streaming(body) => body.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Buffered(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            Self::Streaming(_) => SizeHint::default(),
        }
    }
}

impl StreamingBody {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        if let Some(prefix) = self.prefix.take() {
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        let frame = ready!(Pin::new(&mut self.rest).poll_frame(cx));
        match &frame {
            None => self.finish(),
            Some(Err(_)) => drop(self.connection.take()),
            Some(Ok(_)) => {}
        }
        Poll::Ready(frame)
    }

    fn finish(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.return_to_pool();
        }
        if let Some(in_flight) = self.in_flight.take() {
            in_flight.complete();
        }
    }
}

/// An answer of our own.
pub fn local_response(status: StatusCode, reason: &str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::buffered(format!("{reason}\n")));
    *response.status_mut() = status;
    response
}

/// The promise that a request has not run, and when to come back.
pub fn not_run_response(retry_after: Duration, reason: &str) -> Response<ResponseBody> {
    let mut response = local_response(StatusCode::SERVICE_UNAVAILABLE, reason);
    let seconds = format!("{:.2}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}
