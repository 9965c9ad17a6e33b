//! Tables that other instances hand out.

use {
    crate::{CallError, HttpClient, ReadTimeout},
    bytes::Bytes,
    citron_wire::relay::{Format, RelayError, TableQuery, TableWire},
    http::{Request, StatusCode},
};

/// An answer that was not read yet.
#[derive(Debug)]
pub struct TableResponse {
    format: Format,
    bytes: Bytes,
}

impl TableResponse {
    /// Reads an answer whose rows take `most` bytes at most.
    ///
    /// # Errors
    /// If it is of another version, too long or damaged.
    pub fn decode(&self, max_bytes: usize) -> Result<TableWire, RelayError> {
        TableWire::decode(self.format, &self.bytes, max_bytes)
    }
}

/// Asks another instance for a table; one of an older version, which does not know the
/// format, once more in the format before.
///
/// # Errors
/// As [`HttpClient::fetch`].
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
