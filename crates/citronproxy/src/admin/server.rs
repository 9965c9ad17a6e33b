//! The listener.

use {
    super::{
        Admin, AdminError, ControlView, auth,
        response::{Answer, refusal},
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

/// Connections served at a time; more wait, so that operators' scripts cannot
/// crowd out the control loop, which runs on the same thread.
const CONNECTIONS: usize = 64;
/// The largest request body, in bytes.
const MAX_BODY: usize = 4 << 20;
/// How long a caller may take to send a head, and then a body.
const SEND_TIME: Duration = Duration::from_secs(10);
/// The pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A bound listener that serves nothing yet.
#[derive(Debug)]
pub struct AdminServer {
    /// Where it listens.
    pub address: SocketAddr,
    listener: TcpListener,
}

impl AdminServer {
    /// Binds the address, port 0 for any.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        Ok(Self { address, listener })
    }
}

/// Serves the API on a local task set; ends only with its task.
pub async fn serve<S, C>(server: AdminServer, admin: Rc<Admin<S, C>>)
where
    S: TableStore + ObjectStore + 'static,
    C: ControlView + 'static,
{
    let slots = Arc::new(Semaphore::new(CONNECTIONS));
    loop {
        let Ok(slot) = Arc::clone(&slots).acquire_owned().await else {
            return;
        };
        match server.listener.accept().await {
            Ok((stream, _)) => {
                let admin = Rc::clone(&admin);
                spawn_local(async move {
                    connection(stream, admin).await;
                    drop(slot);
                });
            }
            Err(error) => {
                log::warn!("{} admin: {error}", events::ACCEPT_FAILED);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection<S: TableStore + ObjectStore, C: ControlView>(
    stream: TcpStream,
    admin: Rc<Admin<S, C>>,
) {
    let service = service_fn(|request| answer(&admin, request));
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(SEND_TIME)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = served.await {
        log::debug!("operator's connection ended: {error}");
    }
}

async fn answer<S: TableStore + ObjectStore, C: ControlView>(
    admin: &Admin<S, C>,
    request: Request<Incoming>,
) -> Result<Answer, Infallible> {
    let (head, body) = request.into_parts();
    let answered = checked_answer(admin, head, body).await;
    Ok(answered.unwrap_or_else(|error| refusal(&error)))
}

/// The token comes first: whoever has none gets no body read into memory.
async fn checked_answer<S: TableStore + ObjectStore, C: ControlView>(
    admin: &Admin<S, C>,
    head: Parts,
    body: Incoming,
) -> Result<Answer, AdminError> {
    auth::check(admin.token.as_deref(), &head.headers)?;
    let body = read_body(body).await?;
    admin.answer(&head, &body).await
}

async fn read_body(body: Incoming) -> Result<Bytes, AdminError> {
    let whole = Limited::new(body, MAX_BODY).collect();
    let late = |_| AdminError::Malformed("the body took too long".to_string());
    let read = timeout(SEND_TIME, whole).await.map_err(late)?;
    let body = read.map_err(|error| AdminError::Malformed(error.to_string()))?;
    Ok(body.to_bytes())
}
