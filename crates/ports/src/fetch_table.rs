//! Fetching tables from other instances.

use {
    crate::{CallError, HttpClient, ReadTimeout},
    bytes::Bytes,
    citron_wire::relay::{Format, RelayError, TableQuery, TableWire},
    http::{Request, StatusCode},
};

/// Response to a [`TableQuery`], not decoded yet.
#[derive(Debug)]
pub struct TableResponse {
    format: Format,
    bytes: Bytes,
}

impl TableResponse {
    /// Decodes the response. Its rows may take at most `max_bytes`.
    ///
    /// # Errors
    /// [`RelayError`] if the format is not supported, or the response too large or
    /// malformed.
    pub fn decode(&self, max_bytes: usize) -> Result<TableWire, RelayError> {
        TableWire::decode(self.format, &self.bytes, max_bytes)
    }
}

/// Fetches a table from another instance. If that instance runs an older version and does
/// not support the format, the table is requested again in the previous format.
///
/// # Errors
/// The same errors as [`HttpClient::fetch`].
pub async fn fetch_table(
    client: &HttpClient,
    mut query: TableQuery,
    limit: &mut impl ReadTimeout,
) -> Result<TableResponse, CallError> {
    loop {
        let mut request = Request::new(Bytes::new());
        *request.uri_mut() = query.to_string().parse().unwrap_or_default();
        let response = client.fetch(request, limit).await?;
        match query.older() {
            Some(older) if response.status() == StatusCode::NOT_FOUND => query = older,
            _ => {
                return Ok(TableResponse {
                    format: query.format,
                    bytes: response.into_body(),
                });
            }
        }
    }
}
