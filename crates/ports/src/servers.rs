//! HTTP client for the control calls to backend servers: grants and health probes.

use {
    crate::{GrantClient, PlatformError, is_final_status},
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

/// Time-out of an order. It is well below the duration of a lease, so that a lost order can
/// be resent before the lease expires.
const ORDER_TIMEOUT: Duration = Duration::from_millis(600);
/// Time-out of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Largest response body that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Value of [`HEADER_REFUSED`] in responses of a server that is shutting down.
const DRAINING: &str = "draining";

type Connection = SendRequest<Full<Bytes>>;

/// State of a backend server, as found by a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// The server responds.
    Up,
    /// The server responds and reports that it is shutting down.
    Draining,
}

/// Checks whether backend servers respond.
pub trait Prober {
    /// Probes a server. The probe does not occupy a slot of the server.
    ///
    /// # Errors
    /// [`PlatformError`] if the server does not respond in time.
    fn probe(
        &self,
        address: SocketAddr,
    ) -> impl Future<Output = Result<ProbeResult, PlatformError>>;
}

/// Client for control calls to backend servers. It keeps one idle connection per server and
/// path, as a new connection costs a server about a millisecond.
///
/// A connection whose call failed is dropped. The next call then shows whether the server or
/// only the connection had stopped responding.
#[derive(Debug, Default)]
pub struct ServerClient {
    idle: Mutex<BTreeMap<(SocketAddr, &'static str), Connection>>,
}

impl ServerClient {
    async fn call(
        &self,
        address: SocketAddr,
        time_limit: Duration,
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
            let (head, body) = sent.map_err(outcome_unknown)?.into_parts();
            if !is_final_status(head.status) {
                let reason = format!("status {} is not final", head.status);
                return Err(PlatformError::OutcomeUnknown(reason));
            }
            let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
            let body = body.map_err(|error| PlatformError::OutcomeUnknown(error.to_string()))?;
            self.return_idle(address, path, connection);
            Ok((head.status, head.headers, body.to_bytes()))
        };
        let timed_out = |_| PlatformError::OutcomeUnknown(format!("no answer in {time_limit:?}"));
        timeout(time_limit, call).await.map_err(timed_out)?
    }

    async fn connection(
        &self,
        address: SocketAddr,
        path: &'static str,
    ) -> Result<Connection, PlatformError> {
        if let Some(idle) = self.take_idle(address, path) {
            return Ok(idle);
        }
        let connected = TcpStream::connect(address).await;
        let stream = connected.map_err(|error| PlatformError::Unreachable(error.to_string()))?;
        let _ = stream.set_nodelay(true);
        let (sender, driver) = handshake(TokioIo::new(stream))
            .await
            .map_err(outcome_unknown)?;
        tokio::spawn(driver);
        Ok(sender)
    }

    fn take_idle(&self, address: SocketAddr, path: &'static str) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connection = idle.remove(&(address, path))?;
        connection.is_ready().then_some(connection)
    }

    fn return_idle(&self, address: SocketAddr, path: &'static str, connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.insert((address, path), connection);
    }
}

impl GrantClient for ServerClient {
    async fn send_order(
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
        let body = serde_json::to_vec(&order).map_err(invalid_response)?;
        let call = (Method::POST, GRANTS_PATH);
        let response = self.call(server.address, ORDER_TIMEOUT, call, body.into());
        let (status, _, bytes) = response.await?;
        if !status.is_success() {
            return Err(PlatformError::InvalidResponse(format!("status {status}")));
        }
        let reply: GrantReplyWire = serde_json::from_slice(&bytes).map_err(invalid_response)?;
        if reply.results.len() != grants.len() {
            return Err(PlatformError::InvalidResponse(
                "expected one result per grant".to_string(),
            ));
        }
        Ok(reply.into())
    }
}

impl Prober for ServerClient {
    /// Sends `OPTIONS *`, which addresses the server itself and no resource (RFC 9110,
    /// section 9.3.7). Any response counts as up.
    async fn probe(&self, address: SocketAddr) -> Result<ProbeResult, PlatformError> {
        let call = (Method::OPTIONS, "*");
        let response = self
            .call(address, PROBE_TIMEOUT, call, Bytes::new())
            .await?;
        let refused = response.1.get(HEADER_REFUSED);
        Ok(match refused.is_some_and(|value| value == DRAINING) {
            true => ProbeResult::Draining,
            false => ProbeResult::Up,
        })
    }
}

fn invalid_response(error: serde_json::Error) -> PlatformError {
    PlatformError::InvalidResponse(error.to_string())
}

fn outcome_unknown(error: hyper::Error) -> PlatformError {
    PlatformError::OutcomeUnknown(error.to_string())
}
