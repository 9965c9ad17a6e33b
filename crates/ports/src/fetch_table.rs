//! Tables that other instances hand out.

use {
    crate::{CallError, KeptClient, ReadTimeout},
    bytes::Bytes,
    citron_wire::relay::{Format, RelayError, TableQuestion, TableWire},
    http::{Request, StatusCode},
};

/// An answer that was not read yet.
#[derive(Debug)]
pub struct TableAnswer {
    format: Format,
    bytes: Bytes,
}

impl TableAnswer {
    /// Reads an answer whose rows take `most` bytes at most.
    ///
    /// # Errors
    /// If it is of another version, too long or damaged.
    pub fn read(&self, most: usize) -> Result<TableWire, RelayError> {
        TableWire::read(self.format, &self.bytes, most)
    }
}

/// Asks another instance for a table; one of an older version, which does not know the
/// format, once more in the format before.
///
/// # Errors
/// As [`KeptClient::fetch`].
pub async fn fetch_table(
    client: &KeptClient,
    mut question: TableQuestion,
    limit: &mut impl ReadTimeout,
) -> Result<TableAnswer, CallError> {
    loop {
        let mut request = Request::new(Bytes::new());
        *request.uri_mut() = question.to_string().parse().unwrap_or_default();
        let answer = client.fetch(request, limit).await?;
        match question.older() {
            Some(older) if answer.status() == StatusCode::NOT_FOUND => question = older,
            _ => {
                return Ok(TableAnswer {
                    format: question.format,
                    bytes: answer.into_body(),
                });
            }
        }
    }
}
