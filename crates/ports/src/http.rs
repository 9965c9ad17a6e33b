//! HTTP client of the platform's services.

use {
    crate::{
        CallError, HttpClient, IdleTimeout, Machine, MachineList, MachineState, ObjectStore,
        PlatformError, TableService,
    },
    bytes::Bytes,
    citron_wire::{
        table::{ChangesWire, CommitResponseWire, CommitWire, LogWire, StoredRowWire},
        uri::{escape_path, escape_query},
    },
    http::{Method, Request, StatusCode},
    serde::{Deserialize, de::DeserializeOwned},
    std::{net::SocketAddr, time::Duration},
};

/// Time-out for the head of a response, and then for each further part of its body.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Largest response body that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Client of the platform's table service, object store and machine list at one address.
///
/// Every call opens a connection of its own. At two reads per second this costs little, and
/// a connection that has stopped responding is never reused.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    address: SocketAddr,
}

impl HttpPlatform {
    /// Creates a client without connecting.
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

    async fn get_required<T: DeserializeOwned>(&self, path: &str) -> Result<T, PlatformError> {
        let found = self.get(path).await?;
        found.ok_or_else(|| PlatformError::InvalidResponse(format!("{path} not found")))
    }
}

impl TableService for HttpPlatform {
    async fn changes(&self, since: u64) -> Result<ChangesWire, PlatformError> {
        self.get_required(&format!("/v1/changes?since={since}"))
            .await
    }

    async fn commit(&self, commit: &CommitWire) -> Result<CommitResponseWire, PlatformError> {
        let body = encode(commit)?;
        let (status, bytes) = call(self.address, Method::POST, "/v1/commit", body).await?;
        decode(status, &bytes)
    }

    async fn row(&self, key: &str) -> Result<Option<StoredRowWire>, PlatformError> {
        self.get(&format!("/v1/row?key={}", escape_query(key)))
            .await
    }

    async fn log(&self, after: u64, limit: usize) -> Result<LogWire, PlatformError> {
        self.get_required(&format!("/v1/log?after={after}&limit={limit}"))
            .await
    }
}

impl ObjectStore for HttpPlatform {
    async fn put(&self, name: &str, bytes: Vec<u8>) -> Result<(), PlatformError> {
        let path = format!("/v1/objects/{}", escape_path(name));
        let (status, _) = call(self.address, Method::PUT, &path, bytes.into()).await?;
        check_status(status)
    }

    async fn get(&self, name: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        let path = format!("/v1/objects/{}", escape_path(name));
        let (status, bytes) = call(self.address, Method::GET, &path, Bytes::new()).await?;
        if status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        check_status(status)?;
        Ok(Some(bytes.to_vec()))
    }

    async fn list(&self, prefix: &str) -> Result<Vec<String>, PlatformError> {
        self.get_required(&format!("/v1/objects?prefix={}", escape_query(prefix)))
            .await
    }
}

#[derive(Deserialize)]
struct MachineWire {
    name: String,
    leaving: bool,
}

impl MachineList for HttpPlatform {
    async fn list(&self) -> Result<Vec<Machine>, PlatformError> {
        let wires: Vec<MachineWire> = self.get_required("/v1/instances").await?;
        let machines = wires.into_iter().map(|wire| Machine {
            name: wire.name,
            state: match wire.leaving {
                true => MachineState::Leaving,
                false => MachineState::Live,
            },
        });
        Ok(machines.collect())
    }
}

fn encode(wire: &impl serde::Serialize) -> Result<Bytes, PlatformError> {
    let json = serde_json::to_vec(wire);
    json.map(Bytes::from)
        .map_err(|error| PlatformError::InvalidResponse(error.to_string()))
}

fn check_status(status: StatusCode) -> Result<(), PlatformError> {
    match status.is_success() {
        true => Ok(()),
        false => Err(PlatformError::InvalidResponse(format!("status {status}"))),
    }
}

fn decode<T: DeserializeOwned>(status: StatusCode, bytes: &[u8]) -> Result<T, PlatformError> {
    check_status(status)?;
    serde_json::from_slice(bytes).map_err(|error| PlatformError::InvalidResponse(error.to_string()))
}

/// Sends a request over a new connection.
async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<(StatusCode, Bytes), PlatformError> {
    let request = Request::builder().method(method).uri(path).body(body);
    let request = request.map_err(|error| PlatformError::Unreachable(error.to_string()))?;
    let mut idle = IdleTimeout::new(CALL_TIMEOUT, CALL_TIMEOUT);
    let client = HttpClient::new(address, MAX_RESPONSE_BYTES);
    let response = client.fetch(request, &mut idle).await;
    let (head, bytes) = response.map_err(platform_error)?.into_parts();
    Ok((head.status, bytes))
}

fn platform_error(error: CallError) -> PlatformError {
    match error {
        CallError::NotSent(reason) => PlatformError::Unreachable(reason),
        error @ CallError::NotAdmitted => PlatformError::Unreachable(error.to_string()),
        CallError::OutcomeUnknown(reason) | CallError::OtherCall(reason) => {
            PlatformError::OutcomeUnknown(reason)
        }
        error @ CallError::TooLong { .. } => PlatformError::OutcomeUnknown(error.to_string()),
    }
}
