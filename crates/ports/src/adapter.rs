//! What an outside platform calls things.

use {
    crate::{Row, RowStore},
    bytes::Bytes,
    citron_core::{
        id::Epoch,
        ranges::{KeyRange, Slice},
        registry::{Evacuation, ServerEntry},
        routes::RouteConfig,
    },
    http::{HeaderMap, HeaderName, Request},
    std::time::Duration,
    thiserror::Error,
};

/// Headers by which callers and backend servers tell of a request.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Id of a request, echoed by its answer.
    pub request_id: HeaderName,
    /// Milliseconds that the caller goes on waiting.
    pub deadline: HeaderName,
    /// The start of a server that alone may run the request.
    pub expected_start: HeaderName,
    /// The start of a server that answers a question after its health.
    pub server_start: HeaderName,
    /// A server's promise that it has not run the request.
    pub not_executed: HeaderName,
    /// The key, as a number.
    pub key: HeaderName,
    /// A server's load at the moment of its answer, as [`ReportedLoad`] is written.
    ///
    /// [`ReportedLoad`]: citron_core::dispatch::ReportedLoad
    pub load: HeaderName,
}

/// Why a row from outside cannot be used.
#[derive(Debug, Error)]
#[error("row '{key}' cannot be read: {reason}")]
pub struct DecodeError {
    /// The row.
    pub key: String,
    /// What is wrong.
    pub reason: String,
}

/// Translates between a platform and the project's types. Decides nothing.
pub trait Adapter: Clone + 'static {
    /// The store's client.
    type Store: RowStore;

    /// The store.
    fn store(&self) -> &Self::Store;

    /// The headers.
    fn headers(&self) -> &HeaderNames;

    /// The path at which a balancer asks whether the instance takes requests.
    fn ready_path(&self) -> &str;

    /// The configuration in a row; `None` if the row is not about it.
    ///
    /// # Errors
    /// If the row cannot be read.
    fn decode_config(&self, row: &Row) -> Result<Option<RouteConfig>, DecodeError>;

    /// The evacuation that a row begins or, if it was removed, ends; `None` if the row
    /// is not about one.
    ///
    /// # Errors
    /// If the row cannot be read.
    fn decode_evacuation(&self, row: &Row) -> Result<Option<Evacuation>, DecodeError>;

    /// The server in a row.
    ///
    /// # Errors
    /// If the row cannot be read.
    fn decode_server(&self, row: &Row) -> Result<ServerEntry, DecodeError>;

    /// The order to hold the keys of a slice for a time.
    fn grant_request(&self, slice: &Slice, hold: Duration) -> Request<Bytes>;

    /// The order to give keys up under a higher epoch.
    fn release_request(&self, range: KeyRange, epoch: Epoch) -> Request<Bytes>;

    /// What a server hands over with its answer to a release.
    fn decode_handover(&self, headers: &HeaderMap) -> Option<String>;
}
