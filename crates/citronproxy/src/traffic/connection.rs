//! A caller's connection, from its first byte to its end.

use {
    super::{guard::GuardStream, limits::Limits},
    http::{Request, Response},
    http_body::Body,
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{convert::Infallible, error::Error, pin::pin},
    tokio::net::TcpStream,
};

/// Bytes that are buffered of one caller's connection, each way.
const BUFFER_MAX: usize = 64 * 1_024;

/// Answers a caller's requests until it closes the connection, or until `closing`
/// resolves and the request under way has ended.
pub async fn serve<S, F, B>(stream: TcpStream, limits: Limits, closing: impl Future, answer: S)
where
    S: Fn(Request<Incoming>) -> F,
    F: Future<Output = Result<Response<B>, Infallible>>,
    B: Body + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    if let Err(error) = stream.set_nodelay(true) {
        // The caller has gone already.
        log::debug!("a caller's connection: {error}");
        return;
    }
    let guarded = GuardStream::new(stream, limits);
    let service = service_fn(answer);
    let mut served = pin!(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.idle)
            .max_buf_size(BUFFER_MAX)
            .serve_connection(TokioIo::new(guarded), service)
    );
    let ended = tokio::select! {
        ended = served.as_mut() => ended,
        _ = closing => {
            served.as_mut().graceful_shutdown();
            served.await
        }
    };
    if let Err(error) = ended {
        log::debug!("caller's connection ended: {error}");
    }
}
