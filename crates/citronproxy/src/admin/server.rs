//! HTTP server of the admin API.

use {
    super::{
        AdminApi, AdminError, ControlView, auth,
        response::{JsonResponse, error_response},
    },
    crate::events,
    bytes::Bytes,
    citron_ports::{ObjectStore, TableStore},
    http::{Request, request::Parts},
    http_body_util::{BodyExt, Limited},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{convert::Infallible, io, net::SocketAddr, rc::Rc, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::Semaphore,
        task::spawn_local,
        time::{sleep, timeout},
    },
};

/// Maximum number of connections served at a time. Further ones wait, so that operators'
/// scripts cannot starve the control loop, which runs on the same thread.
const MAX_CONNECTIONS: usize = 64;
/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 4 << 20;
/// How long a client may take to send the request head, and then the body.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A bound listener that does not accept connections yet.
#[derive(Debug)]
pub struct AdminListener {
    /// Address that the listener is bound to.
    pub address: SocketAddr,
    listener: TcpListener,
}

impl AdminListener {
    /// Binds an address; port 0 picks a free port.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        Ok(Self { address, listener })
    }
}

/// Serves the API within a `LocalSet`. Runs until its task is aborted.
pub async fn serve<S, C>(server: AdminListener, admin: Rc<AdminApi<S, C>>)
where
    S: TableStore + ObjectStore + 'static,
    C: ControlView + 'static,
{
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        match server.listener.accept().await {
            Ok((stream, _)) => {
                let admin = Rc::clone(&admin);
                spawn_local(async move {
                    serve_connection(stream, admin).await;
                    drop(permit);
                });
            }
            Err(error) => {
                log::warn!("{} admin API: {error}", events::ACCEPT_FAILED);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection<S: TableStore + ObjectStore, C: ControlView>(
    stream: TcpStream,
    admin: Rc<AdminApi<S, C>>,
) {
    let service = service_fn(|request| respond(&admin, request));
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(RECEIVE_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = served.await {
        log::debug!("admin connection ended: {error}");
    }
}

async fn respond<S: TableStore + ObjectStore, C: ControlView>(
    admin: &AdminApi<S, C>,
    request: Request<Incoming>,
) -> Result<JsonResponse, Infallible> {
    let (head, body) = request.into_parts();
    let answered = authorize_and_dispatch(admin, head, body).await;
    Ok(answered.unwrap_or_else(|error| error_response(&error)))
}

/// Checks the token before reading the body, so that no body of an unauthorized client is
/// held in memory.
async fn authorize_and_dispatch<S: TableStore + ObjectStore, C: ControlView>(
    admin: &AdminApi<S, C>,
    head: Parts,
    body: Incoming,
) -> Result<JsonResponse, AdminError> {
    auth::check_token(admin.token.as_deref(), &head.headers)?;
    let body = read_body(body).await?;
    admin.dispatch(&head, &body).await
}

async fn read_body(body: Incoming) -> Result<Bytes, AdminError> {
    let whole = Limited::new(body, MAX_BODY_BYTES).collect();
    let timed_out = |_| AdminError::Malformed("the request body took too long".to_string());
    let read = timeout(RECEIVE_TIMEOUT, whole).await.map_err(timed_out)?;
    let body = read.map_err(|error| AdminError::Malformed(error.to_string()))?;
    Ok(body.to_bytes())
}
