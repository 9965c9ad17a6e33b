//! The interface between the router and a platform's own formats.

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

/// Names of the HTTP headers that callers and backend servers use.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Id of a request, repeated in its response.
    pub request_id: HeaderName,
    /// Milliseconds for which the caller still waits for the response.
    pub deadline: HeaderName,
    /// Id of the only server process that may run the request. The same server after a
    /// restart rejects the request.
    pub expected_start: HeaderName,
    /// Id of the server process that answered a health check.
    pub server_start: HeaderName,
    /// Present in a response if the server guarantees that it did not run the request.
    pub not_executed: HeaderName,
    /// Key of the request, as a number.
    pub key: HeaderName,
    /// Load of the server when it responded, in the text form of [`ReportedLoad`].
    ///
    /// [`ReportedLoad`]: citron_core::dispatch::ReportedLoad
    pub load: HeaderName,
    /// Requests per second that the server takes from all instances together, present in
    /// its responses for as long as the limit holds.
    pub limit: HeaderName,
    /// Present with the value `1` in the responses of a server that leaves.
    pub leaving: HeaderName,
}

/// Error of decoding a row of the store.
#[derive(Debug, Error)]
#[error("row '{key}' cannot be read: {reason}")]
pub struct DecodeError {
    /// Key of the row.
    pub key: String,
    /// Reason for the error.
    pub reason: String,
}

/// Translates between a platform's formats and the types of `citron-core`. It contains no
/// routing or placement decisions.
pub trait Adapter: Clone + 'static {
    /// Client of the platform's store.
    type Store: RowStore;

    /// Returns the client of the store.
    fn store(&self) -> &Self::Store;

    /// Returns the names of the HTTP headers.
    fn headers(&self) -> &HeaderNames;

    /// Returns the path at which a load balancer checks whether the instance accepts
    /// requests.
    fn ready_path(&self) -> &str;

    /// Decodes the routing configuration in a row. Returns `None` for a row of another
    /// kind.
    ///
    /// # Errors
    /// [`DecodeError`] if the row is malformed.
    fn decode_config(&self, row: &Row) -> Result<Option<RouteConfig>, DecodeError>;

    /// Decodes the evacuation that a row begins, or ends if the row was removed. Returns
    /// `None` for a row of another kind.
    ///
    /// # Errors
    /// [`DecodeError`] if the row is malformed.
    fn decode_evacuation(&self, row: &Row) -> Result<Option<Evacuation>, DecodeError>;

    /// Decodes the backend server in a row.
    ///
    /// # Errors
    /// [`DecodeError`] if the row is malformed.
    fn decode_server(&self, row: &Row) -> Result<ServerEntry, DecodeError>;

    /// Builds the request that grants a server the keys of a slice for the duration `hold`.
    fn grant_request(&self, slice: &Slice, hold: Duration) -> Request<Bytes>;

    /// Builds the request that makes a server release keys, under a higher epoch than that
    /// of its grant.
    fn release_request(&self, range: KeyRange, epoch: Epoch) -> Request<Bytes>;

    /// Extracts the state that a server hands over to the next owner from its response to a
    /// release.
    fn decode_handover(&self, headers: &HeaderMap) -> Option<String>;
}
