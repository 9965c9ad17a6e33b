//! A caller's connection, from its first byte to its end.
//!
//! A caller may send further requests before the first one is answered. The HTTP
//! library takes them one by one, so that one slow request would keep those behind
//! it from their servers although each of them has a server of its own: with
//! requests of 0.1 s and objectives of 0.3 s the third one of a row is late before
//! it is sent. Requests that are safe are begun as they come; answers leave in the
//! order of the requests.

use {
    super::{
        guard::GuardStream,
        limits::Limits,
        pipelined::{self, PipelinedRequest},
    },
    http::{Request, Response, header, request::Parts},
    http_body::Body,
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{
        cell::{RefCell, RefMut},
        collections::VecDeque,
        convert::Infallible,
        error::Error,
        future::poll_fn,
        io::{self, IoSlice},
        pin::{Pin, pin},
        rc::Rc,
        task::{Context, Poll},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// Bytes that are buffered of one caller's connection, each way, unless heads may be
/// larger.
const MIN_BUFFER_BYTES: usize = 64 * 1_024;

/// What answers the requests of a connection.
pub trait RequestHandler: Clone + 'static {
    /// The body of an answer.
    type Body: Body + 'static;

    /// Answers a request; one without a body if that is `None`.
    fn handle(
        self,
        head: Parts,
        body: Option<Incoming>,
    ) -> impl Future<Output = Response<Self::Body>> + 'static;

    /// Whether a request without a body may be answered while one before it is not.
    fn can_start_early(&self, head: &Parts) -> bool;

    /// Bytes that a request's head may have now: connections outlive settings.
    fn max_head_bytes(&self) -> usize;
}

/// Answers a caller's requests until it closes the connection, or until `closing`
/// resolves and the request under way has ended.
pub async fn serve<S>(stream: TcpStream, limits: Limits, closing: impl Future, handler: S)
where
    S: RequestHandler,
    <S::Body as Body>::Error: Into<Box<dyn Error + Send + Sync>>,
{
    if let Err(error) = stream.set_nodelay(true) {
        // The caller has gone already.
        log::debug!("a caller's connection: {error}");
        return;
    }
    let buffer = limits.max_head_bytes.max(MIN_BUFFER_BYTES);
    let connection = Rc::new(ClientConnection {
        guard: RefCell::new(GuardStream::new(stream, limits, buffer)),
        pipelined: RefCell::default(),
        handler,
    });
    let start = |request| Rc::clone(&connection).start(request);
    let mut served = pin!(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.idle_timeout)
            .max_buf_size(buffer)
            .serve_connection(
                TokioIo::new(SharedGuard(Rc::clone(&connection))),
                service_fn(start)
            )
    );
    let mut closing = pin!(closing);
    let mut is_closing = false;
    let ended = poll_fn(|cx| {
        if !is_closing && closing.as_mut().poll(cx).is_ready() {
            is_closing = true;
            served.as_mut().graceful_shutdown();
        }
        let ended = served.as_mut().poll(cx);
        if ended.is_pending() {
            connection.poll_pipelined(cx);
        }
        ended
    });
    if let Err(error) = ended.await {
        log::debug!("caller's connection ended: {error}");
    }
}

/// One caller's connection.
struct ClientConnection<S: RequestHandler> {
    guard: RefCell<GuardStream>,
    /// Requests that were told ahead; `None` for one that waits for its turn.
    pipelined: RefCell<VecDeque<Option<PipelinedRequest<S::Body>>>>,
    handler: S,
}

impl<S: RequestHandler> ClientConnection<S> {
    /// Takes a request that has its turn. Not a future yet: the library may read on
    /// before it polls one, and would be given the next head.
    fn start(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<S::Body>, Infallible>> {
        let (head, body) = request.into_parts();
        // A request behind one that changes something may depend on it.
        let was_announced = self
            .guard
            .borrow_mut()
            .begin_response(head.method.is_safe());
        let pipelined = match was_announced {
            true => self.pipelined.borrow_mut().pop_front().flatten(),
            false => None,
        };
        self.finish(head, body, pipelined)
    }

    async fn finish(
        self: Rc<Self>,
        head: Parts,
        body: Incoming,
        pipelined: Option<PipelinedRequest<S::Body>>,
    ) -> Result<Response<S::Body>, Infallible> {
        let pipelined = match pipelined {
            Some(pipelined) => pipelined.into_response(&head).await,
            None => None,
        };
        let mut response = match pipelined {
            Some(response) => response,
            None => self.handler.clone().handle(head, Some(body)).await,
        };
        if !self.pipelined.borrow().is_empty() {
            // Answers that are worked out would be thrown away with the connection.
            response.headers_mut().remove(header::CONNECTION);
        }
        self.guard.borrow_mut().end_response();
        Ok(response)
    }

    /// The guard, to read heads that are allowed now.
    fn guard_for_read(&self) -> RefMut<'_, GuardStream> {
        let mut guard = self.guard.borrow_mut();
        guard.set_max_head_bytes(self.handler.max_head_bytes());
        guard
    }

    /// Begins what has come behind the request under way.
    fn poll_pipelined(&self, cx: &mut Context<'_>) {
        loop {
            let announced = self.guard_for_read().poll_pipelined(cx);
            match announced {
                Poll::Ready(Some(bytes)) => {
                    let pipelined = self.start_pipelined(&bytes);
                    self.pipelined.borrow_mut().push_back(pipelined);
                }
                Poll::Ready(None) => {
                    // The library is to see the end, too.
                    cx.waker().wake_by_ref();
                    return;
                }
                Poll::Pending => return,
            }
        }
    }

    fn start_pipelined(&self, bytes: &bytes::Bytes) -> Option<PipelinedRequest<S::Body>> {
        let head = pipelined::parse_head(bytes)?;
        if !head.method.is_safe() || !self.handler.can_start_early(&head) {
            return None;
        }
        let response = self.handler.clone().handle(head.clone(), None);
        Some(PipelinedRequest::spawn(&head, response))
    }
}

/// The guarded socket, for the HTTP library.
struct SharedGuard<S: RequestHandler>(Rc<ClientConnection<S>>);

impl<S: RequestHandler> AsyncRead for SharedGuard<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.guard_for_read()).poll_read(cx, out)
    }
}

impl<S: RequestHandler> AsyncWrite for SharedGuard<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.0.guard.borrow_mut()).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.0.guard.borrow_mut()).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.guard.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.guard.borrow_mut()).poll_shutdown(cx)
    }
}
