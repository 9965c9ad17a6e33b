//! HTTP calls, each on a connection of its own.

use {
    bytes::Bytes,
    http::{HeaderMap, Method, Request, StatusCode},
    http_body_util::{BodyExt, Full},
    hyper::client::conn::http1::handshake,
    hyper_util::rt::TokioIo,
    std::{error::Error, net::SocketAddr},
    tokio::net::TcpStream,
};

/// A complete response.
#[derive(Debug)]
pub struct Reply {
    /// Status code.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl Reply {
    /// Value of a header; empty if the header is absent.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or("")
    }
}

/// Sends one request and reads the complete response.
pub async fn call(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<Reply, Box<dyn Error + Send + Sync>> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, driver) = handshake(TokioIo::new(stream)).await?;
    let driver = tokio::spawn(driver);
    let response = sender.send_request(request).await?;
    let (head, body) = response.into_parts();
    let body = body.collect().await?.to_bytes();
    driver.abort();
    Ok(Reply {
        status: head.status,
        headers: head.headers,
        body,
    })
}

/// Sends a GET request.
pub async fn get(address: SocketAddr, path: &str) -> Result<Reply, Box<dyn Error + Send + Sync>> {
    call(address, build(address, Method::GET, path, "", "")).await
}

/// Sends a POST request with a `test-id`, which the backend server records.
pub async fn post(
    address: SocketAddr,
    path: &str,
    id: &str,
    body: &'static str,
) -> Result<Reply, Box<dyn Error + Send + Sync>> {
    call(address, build(address, Method::POST, path, id, body)).await
}

fn build(
    address: SocketAddr,
    method: Method,
    path: &str,
    id: &str,
    body: &'static str,
) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", address.to_string())
        .header("test-id", id)
        .body(Full::from(body))
        .expect("a valid request")
}
