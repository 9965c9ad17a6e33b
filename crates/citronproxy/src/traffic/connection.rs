//! A client connection, from its first byte to its end.
//!
//! A client may pipeline requests, that is, send more before the first one is answered.
//! The HTTP library handles requests one at a time, so a slow request would delay those
//! behind it although each may go to another server: with requests of 0.1 s and a latency
//! objective of 0.3 s, the third request of a sequence would be late before it is sent.
//! Requests with safe methods are therefore started as they arrive; responses are sent in
//! the order of the requests.

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

/// Minimum size in bytes of each buffer of a client connection. A higher limit on heads
/// enlarges the buffers.
const MIN_BUFFER_BYTES: usize = 64 * 1_024;

/// Handler of the requests of a connection.
pub trait RequestHandler: Clone + 'static {
    /// Type of the response bodies.
    type Body: Body + 'static;

    /// Handles a request; `None` means that it has no body.
    fn handle(
        self,
        head: Parts,
        body: Option<Incoming>,
    ) -> impl Future<Output = Response<Self::Body>> + 'static;

    /// Whether a request without a body may be handled while an earlier one is still
    /// being answered.
    fn can_start_early(&self, head: &Parts) -> bool;

    /// Current maximum size of a request head in bytes. It can change while a connection
    /// is open.
    fn max_head_bytes(&self) -> usize;
}

/// Serves a client connection until the client closes it, or until `closing` resolves and
/// the requests that were started are answered.
pub async fn serve<S>(stream: TcpStream, limits: Limits, closing: impl Future, handler: S)
where
    S: RequestHandler,
    <S::Body as Body>::Error: Into<Box<dyn Error + Send + Sync>>,
{
    if let Err(error) = stream.set_nodelay(true) {
        // Fails if the client has disconnected already.
        log::debug!("client connection not served: {error}");
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
    let mut is_shut_down = false;
    let ended = poll_fn(|cx| {
        is_closing = is_closing || closing.as_mut().poll(cx).is_ready();
        loop {
            // The library closes the connection after the request that it has read.
            if is_closing && !is_shut_down && !connection.has_started_ahead() {
                is_shut_down = true;
                served.as_mut().graceful_shutdown();
            }
            let ended = served.as_mut().poll(cx);
            if ended.is_pending() {
                connection.poll_pipelined(cx);
            }
            let is_due = is_closing && !is_shut_down && !connection.has_started_ahead();
            if ended.is_ready() || !is_due {
                return ended;
            }
        }
    });
    if let Err(error) = ended.await {
        log::debug!("client connection ended: {error}");
    }
}

/// State of one client connection.
struct ClientConnection<S: RequestHandler> {
    guard: RefCell<GuardStream>,
    /// Pipelined requests that were announced by the guard, in order; `None` for a
    /// request that was not started early.
    pipelined: RefCell<VecDeque<Option<PipelinedRequest<S::Body>>>>,
    handler: S,
}

impl<S: RequestHandler> ClientConnection<S> {
    /// Starts to handle a request that the HTTP library has read. It is not an `async
    /// fn`, as the library may read on before it polls the future, and the guard would
    /// then pass on the next head.
    fn start(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<S::Body>, Infallible>> {
        let (head, body) = request.into_parts();
        // A request behind one with an unsafe method may depend on the effects of that
        // one, so it is not started early.
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
            // Closing the connection would discard the responses to the pipelined
            // requests.
            response.headers_mut().remove(header::CONNECTION);
        }
        self.guard.borrow_mut().end_response();
        Ok(response)
    }

    /// Whether a pipelined request was started that the HTTP library has not read yet.
    fn has_started_ahead(&self) -> bool {
        self.pipelined.borrow().iter().any(Option::is_some)
    }

    /// Borrows the guard for reading, after updating the maximum size of heads.
    fn guard_for_read(&self) -> RefMut<'_, GuardStream> {
        let mut guard = self.guard.borrow_mut();
        guard.set_max_head_bytes(self.handler.max_head_bytes());
        guard
    }

    /// Starts the requests that arrived behind the current one.
    fn poll_pipelined(&self, cx: &mut Context<'_>) {
        loop {
            let announced = self.guard_for_read().poll_pipelined(cx);
            match announced {
                Poll::Ready(Some(bytes)) => {
                    let pipelined = self.start_pipelined(&bytes);
                    self.pipelined.borrow_mut().push_back(pipelined);
                }
                Poll::Ready(None) => {
                    // The HTTP library has to see the end of the stream as well.
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

/// The guarded socket as the HTTP library's stream.
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
