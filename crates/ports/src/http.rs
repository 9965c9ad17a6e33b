//! The platform over HTTP.

use {
    crate::{
        CallError, IdleTimeout, InstanceList, KeptClient, Listed, ListedState, ObjectStore,
        PlatformError, TableService,
    },
    bytes::Bytes,
    citron_wire::table::{ChangesWire, CommitAnswerWire, CommitWire, LogWire, StoredWire},
    http::{Method, Request, StatusCode},
    serde::{Deserialize, de::DeserializeOwned},
    std::{net::SocketAddr, time::Duration},
};

/// How long the begin of an answer may take, and each further part of it.
const CALL_TIME: Duration = Duration::from_millis(1_000);
/// The largest answer that is read.
const MAX_ANSWER: usize = 64 << 20;

/// Client of the platform's services at one address.
///
/// Every call opens its own connection: at two reads a second that costs
/// little, and no connection that went silent is ever used again.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    address: SocketAddr,
}

impl HttpPlatform {
    /// A client; nothing is sent yet.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<Option<T>, PlatformError> {
        let (status, bytes) = call(self.address, Method::GET, path, Bytes::new()).await?;
        if status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        decode(status, &bytes).map(Some)
    }

    async fn must_get<T: DeserializeOwned>(&self, path: &str) -> Result<T, PlatformError> {
        let found = self.get(path).await?;
        found.ok_or_else(|| PlatformError::Answer(format!("{path} not found")))
    }
}

impl TableService for HttpPlatform {
    async fn changes(&self, since: u64) -> Result<ChangesWire, PlatformError> {
        self.must_get(&format!("/v1/changes?since={since}")).await
    }

    async fn commit(&self, commit: &CommitWire) -> Result<CommitAnswerWire, PlatformError> {
        let body = encode(commit)?;
        let (status, bytes) = call(self.address, Method::POST, "/v1/commit", body).await?;
        decode(status, &bytes)
    }

    async fn row(&self, key: &str) -> Result<Option<StoredWire>, PlatformError> {
        self.get(&format!("/v1/row?key={key}")).await
    }

    async fn log(&self, after: u64, limit: usize) -> Result<LogWire, PlatformError> {
        self.must_get(&format!("/v1/log?after={after}&limit={limit}"))
            .await
    }
}

impl ObjectStore for HttpPlatform {
    async fn put(&self, name: &str, bytes: Vec<u8>) -> Result<(), PlatformError> {
        let path = format!("/v1/objects/{name}");
        let (status, _) = call(self.address, Method::PUT, &path, bytes.into()).await?;
        check(status)
    }

    async fn get(&self, name: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        let path = format!("/v1/objects/{name}");
        let (status, bytes) = call(self.address, Method::GET, &path, Bytes::new()).await?;
        if status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        check(status)?;
        Ok(Some(bytes.to_vec()))
    }

    async fn list(&self, prefix: &str) -> Result<Vec<String>, PlatformError> {
        self.must_get(&format!("/v1/objects?prefix={prefix}")).await
    }
}

#[derive(Deserialize)]
struct ListedWire {
    name: String,
    leaving: bool,
}

impl InstanceList for HttpPlatform {
    async fn list(&self) -> Result<Vec<Listed>, PlatformError> {
        let wires: Vec<ListedWire> = self.must_get("/v1/instances").await?;
        let listed = wires.into_iter().map(|wire| Listed {
            name: wire.name,
            state: match wire.leaving {
                true => ListedState::Leaving,
                false => ListedState::Live,
            },
        });
        Ok(listed.collect())
    }
}

fn encode(wire: &impl serde::Serialize) -> Result<Bytes, PlatformError> {
    let json = serde_json::to_vec(wire);
    json.map(Bytes::from)
        .map_err(|error| PlatformError::Answer(error.to_string()))
}

fn check(status: StatusCode) -> Result<(), PlatformError> {
    match status.is_success() {
        true => Ok(()),
        false => Err(PlatformError::Answer(format!("status {status}"))),
    }
}

fn decode<T: DeserializeOwned>(status: StatusCode, bytes: &[u8]) -> Result<T, PlatformError> {
    check(status)?;
    serde_json::from_slice(bytes).map_err(|error| PlatformError::Answer(error.to_string()))
}

/// Each call has a client, and so a connection, of its own.
async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<(StatusCode, Bytes), PlatformError> {
    let request = Request::builder().method(method).uri(path).body(body);
    let request = request.map_err(|error| PlatformError::Unreachable(error.to_string()))?;
    let mut idle = IdleTimeout::new(CALL_TIME, CALL_TIME);
    let client = KeptClient::new(address, MAX_ANSWER);
    let answer = client.fetch(request, &mut idle).await;
    let (head, bytes) = answer.map_err(failed)?.into_parts();
    Ok((head.status, bytes))
}

fn failed(error: CallError) -> PlatformError {
    match error {
        CallError::NotSent(reason) => PlatformError::Unreachable(reason),
        CallError::Unknown(reason) => PlatformError::Unsettled(reason),
    }
}
