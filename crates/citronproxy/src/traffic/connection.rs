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
        pipelined::{self, Early},
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
const BUFFER_MAX: usize = 64 * 1_024;

/// What answers the requests of a connection.
pub trait Service: Clone + 'static {
    /// The body of an answer.
    type Body: Body + 'static;

    /// Answers a request; one without a body if that is `None`.
    fn answer(
        self,
        head: Parts,
        body: Option<Incoming>,
    ) -> impl Future<Output = Response<Self::Body>> + 'static;

    /// Whether a request without a body may be answered while one before it is not.
    fn may_begin(&self, head: &Parts) -> bool;

    /// Bytes that a request's head may have now: connections outlive settings.
    fn head_max(&self) -> usize;
}

/// Answers a caller's requests until it closes the connection, or until `closing`
/// resolves and the request under way has ended.
pub async fn serve<S>(stream: TcpStream, limits: Limits, closing: impl Future, service: S)
where
    S: Service,
    <S::Body as Body>::Error: Into<Box<dyn Error + Send + Sync>>,
{
    if let Err(error) = stream.set_nodelay(true) {
        // The caller has gone already.
        log::debug!("a caller's connection: {error}");
        return;
    }
    let buffer = limits.head.max(BUFFER_MAX);
    let caller = Rc::new(Caller {
        guard: RefCell::new(GuardStream::new(stream, limits, buffer)),
        early: RefCell::default(),
        service,
    });
    let answer = |request| Rc::clone(&caller).answer(request);
    let mut served = pin!(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.idle)
            .max_buf_size(buffer)
            .serve_connection(
                TokioIo::new(Guarded(Rc::clone(&caller))),
                service_fn(answer)
            )
    );
    let mut closing = pin!(closing);
    let mut closed = false;
    let ended = poll_fn(|cx| {
        if !closed && closing.as_mut().poll(cx).is_ready() {
            closed = true;
            served.as_mut().graceful_shutdown();
        }
        let ended = served.as_mut().poll(cx);
        if ended.is_pending() {
            caller.poll_ahead(cx);
        }
        ended
    });
    if let Err(error) = ended.await {
        log::debug!("caller's connection ended: {error}");
    }
}

/// One caller's connection.
struct Caller<S: Service> {
    guard: RefCell<GuardStream>,
    /// Requests that were told ahead; `None` for one that waits for its turn.
    early: RefCell<VecDeque<Option<Early<S::Body>>>>,
    service: S,
}

impl<S: Service> Caller<S> {
    /// Takes a request that has its turn. Not a future yet: the library may read on
    /// before it polls one, and would be given the next head.
    fn answer(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<S::Body>, Infallible>> {
        let (head, body) = request.into_parts();
        // A request behind one that changes something may depend on it.
        let told = self.guard.borrow_mut().begin(head.method.is_safe());
        let early = match told {
            true => self.early.borrow_mut().pop_front().flatten(),
            false => None,
        };
        self.finish(head, body, early)
    }

    async fn finish(
        self: Rc<Self>,
        head: Parts,
        body: Incoming,
        early: Option<Early<S::Body>>,
    ) -> Result<Response<S::Body>, Infallible> {
        let early = match early {
            Some(early) => early.answer(&head).await,
            None => None,
        };
        let mut answer = match early {
            Some(answer) => answer,
            None => self.service.clone().answer(head, Some(body)).await,
        };
        if !self.early.borrow().is_empty() {
            // Answers that are worked out would be thrown away with the connection.
            answer.headers_mut().remove(header::CONNECTION);
        }
        self.guard.borrow_mut().answered();
        Ok(answer)
    }

    /// The guard, to read heads that are allowed now.
    fn reading(&self) -> RefMut<'_, GuardStream> {
        let mut guard = self.guard.borrow_mut();
        guard.allow_head(self.service.head_max());
        guard
    }

    /// Begins what has come behind the request under way.
    fn poll_ahead(&self, cx: &mut Context<'_>) {
        loop {
            let told = self.reading().poll_ahead(cx);
            match told {
                Poll::Ready(Some(bytes)) => {
                    let early = self.begin(&bytes);
                    self.early.borrow_mut().push_back(early);
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

    fn begin(&self, bytes: &bytes::Bytes) -> Option<Early<S::Body>> {
        let head = pipelined::parse(bytes)?;
        if !head.method.is_safe() || !self.service.may_begin(&head) {
            return None;
        }
        let answer = self.service.clone().answer(head.clone(), None);
        Some(Early::begin(&head, answer))
    }
}

/// The guarded socket, for the HTTP library.
struct Guarded<S: Service>(Rc<Caller<S>>);

impl<S: Service> AsyncRead for Guarded<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.reading()).poll_read(cx, out)
    }
}

impl<S: Service> AsyncWrite for Guarded<S> {
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
