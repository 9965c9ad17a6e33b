//! HTTP server of the fake platform.

use {
    super::Faults,
    crate::http::{HttpResponse, byte_response, json_response, query_param},
    bytes::Bytes,
    citron_ports::{MachineList, MachineState, MemoryPlatform, ObjectStore, TableService},
    http::{Method, Request, StatusCode},
    http_body_util::BodyExt,
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    percent_encoding::percent_decode_str,
    serde_json::json as json_value,
    std::{io, net::SocketAddr},
    thiserror::Error,
    tokio::net::{TcpListener, TcpStream},
};

/// Error that makes hyper close the connection without a response.
#[derive(Debug, Error)]
#[error("connection closed by an injected fault")]
struct ConnectionAborted;

/// Fake platform with its HTTP server, which stops with its runtime.
#[derive(Debug, Clone)]
pub struct PlatformServer {
    /// Address of the HTTP server.
    pub address: SocketAddr,
    /// Stored table rows, objects and instance list.
    pub memory: MemoryPlatform,
    /// Faults, changeable at run time.
    pub faults: Faults,
}

impl PlatformServer {
    /// Starts the server in the current runtime. Port 0 chooses a free port.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let server = Self {
            address: listener.local_addr()?,
            memory: MemoryPlatform::default(),
            faults: Faults::default(),
        };
        tokio::spawn(server.clone().accept(listener));
        Ok(server)
    }

    async fn accept(self, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            tokio::spawn(self.clone().handle_connection(stream));
        }
    }

    async fn handle_connection(self, stream: TcpStream) {
        let service = service_fn(|request| self.handle(request));
        let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        if let Err(error) = served.await {
            log::debug!("platform connection ended: {error}");
        }
    }

    async fn handle(&self, request: Request<Incoming>) -> Result<HttpResponse, ConnectionAborted> {
        let settings = self.faults.current();
        if settings.is_down {
            return Err(ConnectionAborted);
        }
        tokio::time::sleep(settings.delay).await;
        let is_commit = request.method() == Method::POST;
        if is_commit
            && self
                .faults
                .consume(|settings| &mut settings.dropped_commits)
        {
            return Err(ConnectionAborted);
        }
        let response = self.route(request).await;
        if is_commit && self.faults.consume(|settings| &mut settings.lost_replies) {
            return Err(ConnectionAborted);
        }
        Ok(response)
    }

    async fn route(&self, request: Request<Incoming>) -> HttpResponse {
        let (head, body) = request.into_parts();
        let body = body
            .collect()
            .await
            .map(|collected| collected.to_bytes())
            .unwrap_or_default();
        let path = head.uri.path();
        let params = head.uri.query();
        let number_param = |name| {
            query_param(params, name)
                .and_then(|text| text.parse().ok())
                .unwrap_or(0)
        };
        match (head.method.clone(), path) {
            (Method::GET, "/v1/changes") => {
                result_response(self.memory.changes(number_param("since")).await)
            }
            (Method::POST, "/v1/commit") => self.commit(&body).await,
            (Method::GET, "/v1/row") => {
                let key = query_param(params, "key").unwrap_or_default();
                self.row(&key).await
            }
            (Method::GET, "/v1/log") => {
                let limit = number_param("limit") as usize;
                result_response(self.memory.log(number_param("after"), limit).await)
            }
            (Method::GET, "/v1/instances") => self.instances().await,
            (Method::GET, "/v1/objects") => {
                let prefix = query_param(params, "prefix").unwrap_or_default();
                result_response(ObjectStore::list(&self.memory, &prefix).await)
            }
            (method, path) => match path.strip_prefix("/v1/objects/") {
                Some(name) => match percent_decode_str(name).decode_utf8() {
                    Ok(name) => self.object(method, &name, body).await,
                    Err(_) => byte_response(StatusCode::BAD_REQUEST, Vec::new()),
                },
                None => byte_response(StatusCode::NOT_FOUND, Vec::new()),
            },
        }
    }

    async fn commit(&self, body: &[u8]) -> HttpResponse {
        match serde_json::from_slice(body) {
            Ok(commit) => result_response(self.memory.commit(&commit).await),
            Err(error) => byte_response(StatusCode::BAD_REQUEST, error.to_string().into_bytes()),
        }
    }

    async fn row(&self, key: &str) -> HttpResponse {
        match self.memory.row(key).await {
            Ok(Some(row)) => json_response(StatusCode::OK, &row),
            _ => byte_response(StatusCode::NOT_FOUND, Vec::new()),
        }
    }

    async fn instances(&self) -> HttpResponse {
        let listed = MachineList::list(&self.memory).await.unwrap_or_default();
        let wires = listed.iter().map(|entry| {
            let is_leaving = entry.state == MachineState::Leaving;
            json_value!({ "name": entry.name, "leaving": is_leaving })
        });
        json_response(StatusCode::OK, &wires.collect::<Vec<_>>())
    }

    async fn object(&self, method: Method, name: &str, body: Bytes) -> HttpResponse {
        if method == Method::PUT {
            return result_response(self.memory.put(name, body.to_vec()).await);
        }
        match self.memory.get(name).await {
            Ok(Some(bytes)) => byte_response(StatusCode::OK, bytes),
            _ => byte_response(StatusCode::NOT_FOUND, Vec::new()),
        }
    }
}

fn result_response<T: serde::Serialize>(
    result: Result<T, citron_ports::PlatformError>,
) -> HttpResponse {
    match result {
        Ok(body) => json_response(StatusCode::OK, &body),
        Err(error) => byte_response(StatusCode::BAD_GATEWAY, error.to_string().into_bytes()),
    }
}
