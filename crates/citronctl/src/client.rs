//! Client of the admin API.

use {
    crate::{args::Options, error::CtlError},
    bytes::Bytes,
    citron_wire::{
        admin::{
            EditWire, ErrorWire, HEADER_OPERATOR, HistoryPageWire, LiftWire, MoveWire, OwnerWire,
            RefusedWire, RevisionWire, RowEditWire, RowsWire, StatusWire,
        },
        slo::BurnWire,
        uri::escape_query,
    },
    http::{Method, Request, StatusCode, header},
    http_body_util::{BodyExt, Full},
    hyper::client::conn::http1::{SendRequest, handshake},
    hyper_util::rt::TokioIo,
    serde::{Serialize, de::DeserializeOwned},
    std::{net::SocketAddr, time::Duration},
    tokio::{net::TcpStream, time::timeout},
};

/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a response. An instance may need a few seconds to determine the outcome of
/// an edit.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

type Connection = SendRequest<Full<Bytes>>;

/// Client that sends requests to the first instance that accepts a connection.
#[derive(Debug)]
pub struct Client {
    /// Admin addresses, in the order they are tried.
    pub admins: Vec<SocketAddr>,
    author: String,
    token: String,
}

impl Client {
    /// Creates a client without connecting.
    ///
    /// # Errors
    /// If no admin address or no token is set.
    pub fn new(options: &Options) -> Result<Self, CtlError> {
        if options.admins.is_empty() {
            let message = "name an instance with --at or CITRON_ADMIN";
            return Err(CtlError::Usage(message.to_string()));
        }
        Ok(Self {
            admins: options.admins.clone(),
            author: options.author.clone(),
            token: options.token()?,
        })
    }

    /// Returns the rows of one kind, or of all kinds.
    pub async fn rows(&self, kind: Option<&str>) -> Result<RowsWire, CtlError> {
        let query = kind.map(|kind| format!("?kind={}", escape_query(kind)));
        self.get(&format!("/v1/rows{}", query.unwrap_or_default()))
            .await
    }

    /// Returns the status of one instance.
    pub async fn status(&self, admin: SocketAddr) -> Result<StatusWire, CtlError> {
        let connection = connect(admin).await?;
        self.send(connection, admin, Method::GET, "/v1/status", &())
            .await
    }

    /// Returns the status of the first instance that accepts a connection.
    pub async fn any_status(&self) -> Result<StatusWire, CtlError> {
        self.get("/v1/status").await
    }

    /// Returns the owner of a key.
    pub async fn owner(&self, service: &str, key: &str) -> Result<OwnerWire, CtlError> {
        let (service, key) = (escape_query(service), escape_query(key));
        self.get(&format!("/v1/owner?service={service}&key={key}"))
            .await
    }

    /// Returns at most `limit` accepted edits after a revision.
    pub async fn history(&self, after: u64, limit: usize) -> Result<HistoryPageWire, CtlError> {
        self.get(&format!("/v1/history?after={after}&limit={limit}"))
            .await
    }

    /// Returns the counts of all instances for service-level objectives.
    pub async fn burn(&self) -> Result<BurnWire, CtlError> {
        self.get("/v1/burn").await
    }

    /// Returns the requests that crashed backend servers, as known to one instance.
    pub async fn refused(&self) -> Result<RefusedWire, CtlError> {
        self.get("/v1/refused").await
    }

    /// Ends the refusal of requests with this fingerprint, which crashed backend servers.
    pub async fn lift(&self, fingerprint: String) -> Result<LiftWire, CtlError> {
        self.post("/v1/lifts", &LiftWire { fingerprint }).await
    }

    /// Commits an edit and returns its revision.
    pub async fn edit(&self, rows: Vec<RowEditWire>) -> Result<u64, CtlError> {
        let accepted: RevisionWire = self.post("/v1/edits", &EditWire { rows }).await?;
        Ok(accepted.revision)
    }

    /// Starts a move and returns its revision.
    pub async fn begin_move(&self, request: &MoveWire) -> Result<u64, CtlError> {
        let accepted: RevisionWire = self.post("/v1/moves", request).await?;
        Ok(accepted.revision)
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CtlError> {
        let (connection, admin) = self.connect().await?;
        self.send(connection, admin, Method::GET, path, &()).await
    }

    async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, CtlError> {
        let (connection, admin) = self.connect().await?;
        self.send(connection, admin, Method::POST, path, body).await
    }

    /// Connects to the first instance that accepts a connection. A request that was sent is
    /// never repeated at another instance: an edit could then be reported as a version
    /// conflict with itself.
    async fn connect(&self) -> Result<(Connection, SocketAddr), CtlError> {
        let mut last_error = CtlError::Failed("no admin address".to_string());
        for admin in &self.admins {
            match connect(*admin).await {
                Ok(connection) => return Ok((connection, *admin)),
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    async fn send<T: DeserializeOwned>(
        &self,
        mut connection: Connection,
        admin: SocketAddr,
        method: Method,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, CtlError> {
        let body = serde_json::to_vec(body).map_err(failed)?;
        let is_edit = method == Method::POST;
        let unconfirmed = |message: String| match is_edit {
            true => CtlError::Unknown(message),
            false => CtlError::Failed(message),
        };
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, admin.to_string())
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token))
            .header(HEADER_OPERATOR, &self.author)
            .body(Full::from(body))
            .map_err(failed)?;
        let response_parts = async {
            let response = connection.send_request(request).await?;
            let status = response.status();
            let bytes = response.into_body().collect().await?.to_bytes();
            Ok::<_, hyper::Error>((status, bytes))
        };
        let timed_out = |_| unconfirmed(format!("{admin} did not respond in {RESPONSE_TIMEOUT:?}"));
        let response = timeout(RESPONSE_TIMEOUT, response_parts)
            .await
            .map_err(timed_out)?;
        let (status, bytes) = response.map_err(|error| unconfirmed(format!("{admin}: {error}")))?;
        let unreadable = |error| unconfirmed(format!("{admin}: {error}"));
        if status == StatusCode::OK {
            return serde_json::from_slice(&bytes).map_err(unreadable);
        }
        let wire: ErrorWire = serde_json::from_slice(&bytes).map_err(unreadable)?;
        let wire = Box::new(wire);
        Err(CtlError::Refused { wire })
    }
}

async fn connect(admin: SocketAddr) -> Result<Connection, CtlError> {
    let timed_out = |_| CtlError::Failed(format!("{admin} not reached in {CONNECT_TIMEOUT:?}"));
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(admin)).await;
    let stream = connected.map_err(timed_out)?;
    let stream = stream.map_err(|error| CtlError::Failed(format!("{admin}: {error}")))?;
    let (sender, driver) = handshake(TokioIo::new(stream)).await.map_err(failed)?;
    tokio::spawn(driver);
    Ok(sender)
}

fn failed(error: impl ToString) -> CtlError {
    CtlError::Failed(error.to_string())
}
