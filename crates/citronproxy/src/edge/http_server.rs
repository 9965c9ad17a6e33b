//! Minimal HTTP server for the endpoints that other programs poll: readiness, metrics,
//! and tables for other instances.

use {
    super::EdgeError,
    bytes::Bytes,
    http::{Request, Response, StatusCode},
    http_body_util::Full,
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    std::{convert::Infallible, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{net::TcpListener, task::spawn_local, time::sleep},
};

/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Response whose body is held in memory.
pub type HttpResponse = Response<Full<Bytes>>;

/// Binds a TCP listener.
///
/// # Errors
/// If the address is taken, or does not belong to this host.
pub async fn listen(address: SocketAddr) -> Result<TcpListener, EdgeError> {
    let result = TcpListener::bind(address).await;
    result.map_err(|source| EdgeError::Listen {
        address: address.to_string(),
        source,
    })
}

/// Accepts connections and answers their requests with `handler` until the process exits.
pub async fn serve(
    listener: TcpListener,
    handler: impl Fn(&Request<Incoming>) -> HttpResponse + 'static,
) {
    let handler = Rc::new(handler);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let handler = Rc::clone(&handler);
        spawn_local(async move {
            let service = service_fn(move |request| {
                let response = handler(&request);
                async move { Ok::<_, Infallible>(response) }
            });
            let result = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = result.await {
                log::debug!("HTTP connection ended: {error}");
            }
        });
    }
}

/// Builds a response with a status and a body.
pub fn response(status: StatusCode, body: impl Into<Bytes>) -> HttpResponse {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}
