//! The body of an answer: the backend server's, or a short one of ours.

use {
    super::flights::Flight,
    bytes::Bytes,
    http_body::{Body, Frame, SizeHint},
    http_body_util::Full,
    hyper::body::Incoming,
    std::{
        pin::Pin,
        task::{Context, Poll},
    },
};

/// A body that is streamed through, or that is ours.
#[derive(Debug)]
pub enum AnswerBody {
    /// The backend server's, frame by frame; the request is under way until it ends.
    Streamed {
        /// The body.
        body: Incoming,
        /// The request.
        _flight: Flight,
    },
    /// Ours.
    Own(Full<Bytes>),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            Self::Streamed { body, .. } => Pin::new(body).poll_frame(cx),
            Self::Own(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Streamed { body, .. } => body.is_end_stream(),
            Self::Own(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Streamed { body, .. } => body.size_hint(),
            Self::Own(body) => body.size_hint(),
        }
    }
}
