//! Pipelined requests that are handled before the HTTP library reads them.

use {
    bytes::Bytes,
    http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, Uri, request::Parts},
    tokio::task::{JoinHandle, spawn_local},
};

/// Maximum number of headers in a request; the guard refuses requests with more.
const MAX_HEADERS: usize = 96;

/// Request that is being handled while an earlier one of its connection is not answered
/// yet.
#[derive(Debug)]
pub struct PipelinedRequest<B> {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    task: JoinHandle<Response<B>>,
}

impl<B: 'static> PipelinedRequest<B> {
    /// Starts to produce the response in a task of its own.
    pub fn spawn(head: &Parts, response: impl Future<Output = Response<B>> + 'static) -> Self {
        Self {
            method: head.method.clone(),
            uri: head.uri.clone(),
            headers: head.headers.clone(),
            task: spawn_local(response),
        }
    }

    /// Returns the response if `head` is the head of this request. `None` if it differs
    /// or the task failed; the request then has to be handled again.
    pub async fn into_response(mut self, head: &Parts) -> Option<Response<B>> {
        let is_same = self.method == head.method && self.uri == head.uri;
        if !is_same || self.headers != head.headers {
            return None;
        }
        (&mut self.task).await.ok()
    }
}

impl<B> Drop for PipelinedRequest<B> {
    /// Cancels the task: the client has disconnected, and servers need not work for it.
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Parses a head as the HTTP library would. `None` if the library would refuse it.
pub fn parse_head(bytes: &Bytes) -> Option<Parts> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    parsed
        .parse(bytes)
        .ok()
        .filter(|status| status.is_complete())?;
    let mut request = Request::builder().method(parsed.method?).uri(parsed.path?);
    for header in parsed.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(header.value).ok()?;
        request = request.header(name, value);
    }
    request.body(()).ok().map(|request| request.into_parts().0)
}
