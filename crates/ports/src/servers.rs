//! Calls of control to backend servers.

use {
    crate::{Grants, PlatformError},
    bytes::Bytes,
    citron_core::{
        ownership::{BootId, Grant, GrantReply, ServerLease},
        table::ServerRow,
    },
    citron_wire::grant::{
        GRANTS_PATH, GrantOrderWire, GrantReplyWire, GrantWire, HEADER_REFUSED, LeaseWire,
    },
    http::{HeaderMap, Method, Request, StatusCode, header},
    http_body_util::{BodyExt, Full, Limited},
    hyper::client::conn::http1::{SendRequest, handshake},
    hyper_util::rt::TokioIo,
    std::{
        collections::BTreeMap,
        future::Future,
        net::SocketAddr,
        sync::{Mutex, PoisonError},
        time::Duration,
    },
    tokio::{net::TcpStream, time::timeout},
};

/// How long an order may take; well below a lease, so that a lost order does
/// not let the lease run out.
const ORDER_TIME: Duration = Duration::from_millis(600);
/// How long a probe may take.
const PROBE_TIME: Duration = Duration::from_millis(300);
/// The largest answer that is read.
const MAX_ANSWER: usize = 16 << 20;
/// What a server that is leaving says in [`HEADER_REFUSED`].
const DRAINING: &str = "draining";

type Connection = SendRequest<Full<Bytes>>;

/// What a probe found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Probe {
    /// The server answers.
    Up,
    /// It answers, and says that it is leaving.
    Draining,
}

/// Whether backend servers answer at all.
pub trait Probes {
    /// Asks for any answer; it takes no slot of the server.
    fn probe(&self, address: SocketAddr) -> impl Future<Output = Result<Probe, PlatformError>>;
}

/// Client of backend servers, with one kept connection each, as a new one
/// costs a server about a millisecond.
///
/// A connection whose call failed is dropped, so that the next call shows
/// whether the server or only the connection went silent.
#[derive(Debug, Default)]
pub struct HttpServers {
    kept: Mutex<BTreeMap<(SocketAddr, &'static str), Connection>>,
}

impl HttpServers {
    async fn call(
        &self,
        address: SocketAddr,
        time: Duration,
        (method, path): (Method, &'static str),
        body: Bytes,
    ) -> Result<(StatusCode, HeaderMap, Bytes), PlatformError> {
        let call = async {
            let mut connection = self.connection(address, path).await?;
            let request = Request::builder()
                .method(method)
                .uri(path)
                .header(header::HOST, address.to_string())
                .body(Full::new(body))
                .map_err(|error| PlatformError::Unreachable(error.to_string()))?;
            let sent = connection.send_request(request).await;
            let (head, body) = sent.map_err(unsettled)?.into_parts();
            let body = Limited::new(body, MAX_ANSWER).collect().await;
            let body = body.map_err(|error| PlatformError::Unsettled(error.to_string()))?;
            self.keep(address, path, connection);
            Ok((head.status, head.headers, body.to_bytes()))
        };
        let late = |_| PlatformError::Unsettled(format!("no answer in {time:?}"));
        timeout(time, call).await.map_err(late)?
    }

    async fn connection(
        &self,
        address: SocketAddr,
        path: &'static str,
    ) -> Result<Connection, PlatformError> {
        if let Some(kept) = self.take(address, path) {
            return Ok(kept);
        }
        let connected = TcpStream::connect(address).await;
        let stream = connected.map_err(|error| PlatformError::Unreachable(error.to_string()))?;
        let _ = stream.set_nodelay(true);
        let (sender, driver) = handshake(TokioIo::new(stream)).await.map_err(unsettled)?;
        tokio::spawn(driver);
        Ok(sender)
    }

    fn take(&self, address: SocketAddr, path: &'static str) -> Option<Connection> {
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        let connection = kept.remove(&(address, path))?;
        connection.is_ready().then_some(connection)
    }

    fn keep(&self, address: SocketAddr, path: &'static str, connection: Connection) {
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        kept.insert((address, path), connection);
    }
}

impl Grants for HttpServers {
    async fn order(
        &self,
        server: &ServerRow,
        boot: Option<BootId>,
        grants: &[Grant],
        lease: Option<ServerLease>,
    ) -> Result<GrantReply, PlatformError> {
        let order = GrantOrderWire {
            boot: boot.map(|boot| boot.0),
            grants: grants.iter().map(GrantWire::from).collect(),
            lease: lease.as_ref().map(LeaseWire::from),
        };
        let body = serde_json::to_vec(&order).map_err(bad_answer)?;
        let call = (Method::POST, GRANTS_PATH);
        let answer = self.call(server.address, ORDER_TIME, call, body.into());
        let (status, _, bytes) = answer.await?;
        if !status.is_success() {
            return Err(PlatformError::Answer(format!("status {status}")));
        }
        let reply: GrantReplyWire = serde_json::from_slice(&bytes).map_err(bad_answer)?;
        if reply.results.len() != grants.len() {
            return Err(PlatformError::Answer("not one result a grant".to_string()));
        }
        Ok(reply.into())
    }
}

impl Probes for HttpServers {
    /// `OPTIONS *`, which concerns the server itself and no resource (RFC 9110,
    /// 9.3.7); any answer will do.
    async fn probe(&self, address: SocketAddr) -> Result<Probe, PlatformError> {
        let call = (Method::OPTIONS, "*");
        let answer = self.call(address, PROBE_TIME, call, Bytes::new()).await?;
        let refused = answer.1.get(HEADER_REFUSED);
        Ok(match refused.is_some_and(|value| value == DRAINING) {
            true => Probe::Draining,
            false => Probe::Up,
        })
    }
}

fn bad_answer(error: serde_json::Error) -> PlatformError {
    PlatformError::Answer(error.to_string())
}

fn unsettled(error: hyper::Error) -> PlatformError {
    PlatformError::Unsettled(error.to_string())
}
