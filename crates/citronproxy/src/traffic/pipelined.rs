//! Requests that are begun before their turn on a connection.

use {
    bytes::Bytes,
    http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, Uri, request::Parts},
    tokio::task::{JoinHandle, spawn_local},
};

/// Headers of one request; the guard lets no more through.
const MAX_HEADERS: usize = 96;

/// A request that is being answered though one before it on its connection is not.
#[derive(Debug)]
pub struct PipelinedRequest<B> {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    task: JoinHandle<Response<B>>,
}

impl<B: 'static> PipelinedRequest<B> {
    /// Begins to work out an answer.
    pub fn spawn(head: &Parts, response: impl Future<Output = Response<B>> + 'static) -> Self {
        Self {
            method: head.method.clone(),
            uri: head.uri.clone(),
            headers: head.headers.clone(),
            task: spawn_local(response),
        }
    }

    /// The answer, if this is the request whose turn it is; otherwise, or if it
    /// came to nothing, the request must be answered anew.
    pub async fn into_response(mut self, head: &Parts) -> Option<Response<B>> {
        let is_same = self.method == head.method && self.uri == head.uri;
        if !is_same || self.headers != head.headers {
            return None;
        }
        (&mut self.task).await.ok()
    }
}

impl<B> Drop for PipelinedRequest<B> {
    /// The caller has gone, and servers need not work for it.
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A head as the HTTP library would read it; `None` if it would refuse it.
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
