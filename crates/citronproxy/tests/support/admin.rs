//! A client of the admin API.

use {
    super::{Reply, TOKEN, call},
    bytes::Bytes,
    http::{Method, Request},
    http_body_util::Full,
    serde_json::{Value, json},
    std::{error::Error, net::SocketAddr, time::Duration},
};

/// An operator who calls the admin API of one instance.
#[derive(Debug, Clone)]
pub struct Operator {
    /// Sent as `citron-operator`.
    pub name: String,
    /// Admin address of the instance.
    pub admin: SocketAddr,
}

/// Status and JSON body of a response, or a transport error.
pub type CallResult = Result<(u16, Value), Box<dyn Error + Send + Sync>>;

impl Operator {
    /// An operator of this name.
    pub fn new(name: &str, admin: SocketAddr) -> Self {
        let name = name.to_string();
        Self { name, admin }
    }

    /// Sends a GET.
    pub async fn get(&self, path: &str) -> CallResult {
        self.send(Method::GET, path, &[], None).await
    }

    /// Writes one row on the condition that it has this version; 0 means that it must not exist.
    pub async fn put(&self, key: &str, version: u64, row: &Value) -> CallResult {
        let path = format!("/v1/rows/{key}");
        let tag = format!("\"{version}\"");
        let condition = match version {
            0 => ("if-none-match", "*"),
            _ => ("if-match", tag.as_str()),
        };
        self.send(Method::PUT, &path, &[condition], Some(row)).await
    }

    /// Deletes one row on the condition that it has this version.
    pub async fn delete(&self, key: &str, version: u64) -> CallResult {
        let path = format!("/v1/rows/{key}");
        let tag = format!("\"{version}\"");
        self.send(Method::DELETE, &path, &[("if-match", &tag)], None)
            .await
    }

    /// Writes several rows in one edit, all or none.
    pub async fn edit(&self, rows: &[Value]) -> CallResult {
        let body = json!({ "rows": rows });
        self.send(Method::POST, "/v1/edits", &[], Some(&body)).await
    }

    /// Table revision in force at the instance.
    pub async fn revision(&self) -> u64 {
        let (_, status) = self.get("/v1/status").await.expect("a status response");
        status["revision"].as_u64().expect("a revision")
    }

    /// Sends a request with the admin token; waits up to 30 s for the response.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Option<&Value>,
    ) -> CallResult {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.admin.to_string())
            .header("authorization", format!("Bearer {TOKEN}"))
            .header("citron-operator", &self.name);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let body = body.map(|body| Bytes::from(body.to_string()));
        let request = request.body(Full::new(body.unwrap_or_default()))?;
        let sent = tokio::time::timeout(Duration::from_secs(30), call(self.admin, request));
        let Reply { status, body, .. } = sent.await??;
        Ok((status.as_u16(), serde_json::from_slice(&body)?))
    }
}

/// Row of a backend server of `kegs` in `harbour` to which no test sends requests.
pub fn server_row(number: u16, weight: u32) -> Value {
    json!({
        "kind": "server", "name": format!("server-{number}"), "service": "kegs",
        "domain": "harbour", "address": format!("127.0.0.1:{}", 1 + number),
        "weight": weight, "slots": 4, "connections": 100, "fenced": false, "state": "active",
    })
}

/// Rows of an edit that adds a domain, a service and three servers.
pub fn starting_rows() -> Vec<Value> {
    let service = json!({
        "kind": "service", "name": "kegs", "operator": "authority", "prefix": "/kegs",
        "key": "segment:1", "idempotent": ["GET"], "shard_bits": 6, "deadline_ms": 5000,
        "grace_ms": 5000, "moves_minute": 100, "moves_threshold": 110,
        "slo_failures": 1000, "slo_latency_ms": 100, "slo_slower": 10000,
    });
    let mut rows = vec![
        json!({ "key": "domain/harbour", "version": 0,
            "row": { "kind": "domain", "name": "harbour" } }),
        json!({ "key": "service/kegs", "version": 0, "row": service }),
    ];
    rows.extend((1..=3).map(|number| {
        json!({ "key": format!("server/server-{number}"), "version": 0,
            "row": server_row(number, 100) })
    }));
    rows
}
