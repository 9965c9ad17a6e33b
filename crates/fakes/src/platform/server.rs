//! The HTTP server of the stand-in platform.

use {
    super::Faults,
    crate::http::{Answer, json, plain, query},
    bytes::Bytes,
    citron_ports::{InstanceList, ListedState, Memory, ObjectStore, TableService},
    http::{Method, Request, StatusCode},
    http_body_util::BodyExt,
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    serde_json::json as value,
    std::{io, net::SocketAddr},
    thiserror::Error,
    tokio::net::{TcpListener, TcpStream},
};

/// Cuts the connection instead of answering.
#[derive(Debug, Error)]
#[error("cut off")]
struct CutOff;

/// The stand-in, listening; it stops when its runtime does.
#[derive(Debug, Clone)]
pub struct PlatformServer {
    /// Where it listens.
    pub address: SocketAddr,
    /// What it holds.
    pub memory: Memory,
    /// What goes wrong with it.
    pub faults: Faults,
}

impl PlatformServer {
    /// Starts on an address, port 0 for any, within the current runtime.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let server = Self {
            address: listener.local_addr()?,
            memory: Memory::default(),
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
            tokio::spawn(self.clone().connection(stream));
        }
    }

    async fn connection(self, stream: TcpStream) {
        let service = service_fn(|request| self.answer(request));
        let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        if let Err(error) = served.await {
            log::debug!("platform connection ended: {error}");
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Answer, CutOff> {
        let trouble = self.faults.get();
        if trouble.down {
            return Err(CutOff);
        }
        tokio::time::sleep(trouble.slow).await;
        let commit = request.method() == Method::POST;
        if commit && self.faults.take(|trouble| &mut trouble.dropped) {
            return Err(CutOff);
        }
        let answer = self.route(request).await;
        if commit && self.faults.take(|trouble| &mut trouble.lost) {
            return Err(CutOff);
        }
        Ok(answer)
    }

    async fn route(&self, request: Request<Incoming>) -> Answer {
        let (head, body) = request.into_parts();
        let body = body
            .collect()
            .await
            .map(|whole| whole.to_bytes())
            .unwrap_or_default();
        let path = head.uri.path();
        let params = head.uri.query();
        let number = |name| {
            query(params, name)
                .and_then(|text| text.parse().ok())
                .unwrap_or(0)
        };
        match (head.method.clone(), path) {
            (Method::GET, "/v1/changes") => answer(self.memory.changes(number("since")).await),
            (Method::POST, "/v1/commit") => self.commit(&body).await,
            (Method::GET, "/v1/row") => self.row(query(params, "key").unwrap_or("")).await,
            (Method::GET, "/v1/log") => {
                let limit = number("limit") as usize;
                answer(self.memory.log(number("after"), limit).await)
            }
            (Method::GET, "/v1/instances") => self.instances().await,
            (Method::GET, "/v1/objects") => {
                let prefix = query(params, "prefix").unwrap_or("");
                answer(ObjectStore::list(&self.memory, prefix).await)
            }
            (method, path) => match path.strip_prefix("/v1/objects/") {
                Some(name) => self.object(method, name, body).await,
                None => plain(StatusCode::NOT_FOUND, Vec::new()),
            },
        }
    }

    async fn commit(&self, body: &[u8]) -> Answer {
        match serde_json::from_slice(body) {
            Ok(commit) => answer(self.memory.commit(&commit).await),
            Err(error) => plain(StatusCode::BAD_REQUEST, error.to_string().into_bytes()),
        }
    }

    async fn row(&self, key: &str) -> Answer {
        match self.memory.row(key).await {
            Ok(Some(row)) => json(StatusCode::OK, &row),
            _ => plain(StatusCode::NOT_FOUND, Vec::new()),
        }
    }

    async fn instances(&self) -> Answer {
        let listed = InstanceList::list(&self.memory).await.unwrap_or_default();
        let wires = listed.iter().map(|entry| {
            let leaving = entry.state == ListedState::Leaving;
            value!({ "name": entry.name, "leaving": leaving })
        });
        json(StatusCode::OK, &wires.collect::<Vec<_>>())
    }

    async fn object(&self, method: Method, name: &str, body: Bytes) -> Answer {
        if method == Method::PUT {
            return answer(self.memory.put(name, body.to_vec()).await);
        }
        match self.memory.get(name).await {
            Ok(Some(bytes)) => plain(StatusCode::OK, bytes),
            _ => plain(StatusCode::NOT_FOUND, Vec::new()),
        }
    }
}

fn answer<T: serde::Serialize>(result: Result<T, citron_ports::PlatformError>) -> Answer {
    match result {
        Ok(body) => json(StatusCode::OK, &body),
        Err(error) => plain(StatusCode::BAD_GATEWAY, error.to_string().into_bytes()),
    }
}
