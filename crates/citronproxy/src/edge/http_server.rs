//! A small server for pages that other programs fetch: readiness, metrics, tables.

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

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A page, or the reason why there is none.
pub type Page = Response<Full<Bytes>>;

/// Listens at an address.
///
/// # Errors
/// If it is taken, or is not this machine's.
pub async fn listen(address: SocketAddr) -> Result<TcpListener, EdgeError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| EdgeError::Listen {
        address: address.to_string(),
        source,
    })
}

/// Answers for good.
pub async fn serve(listener: TcpListener, answer: impl Fn(&Request<Incoming>) -> Page + 'static) {
    let answer = Rc::new(answer);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let answer = Rc::clone(&answer);
        spawn_local(async move {
            let service = service_fn(move |request| {
                let page = answer(&request);
                async move { Ok::<_, Infallible>(page) }
            });
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = served.await {
                log::debug!("a connection to a page ended: {error}");
            }
        });
    }
}

/// A page with a status.
pub fn page(status: StatusCode, body: impl Into<Bytes>) -> Page {
    let mut page = Response::new(Full::new(body.into()));
    *page.status_mut() = status;
    page
}
