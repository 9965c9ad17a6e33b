//! Routing of admin API requests.

use {
    super::{
        AdminApi, AdminError, ControlView,
        editor::{MoveRequest, unix_time},
        response::{JsonResponse, json_response, versioned_response},
    },
    crate::{events, slo::aggregate_pages},
    citron_core::{
        id::{KeyHash, ParseIdError, Revision, ShardId},
        ownership::Scope,
        table::{Edit, Row, RowEdit},
    },
    citron_ports::{ObjectStore, TableStore},
    citron_wire::{
        admin::{EditWire, HEADER_OPERATOR, LiftWire, MoveWire, RefusedWire, RevisionWire},
        row::{RowWire, parse_row_key},
    },
    http::{HeaderMap, Method, StatusCode, header, request::Parts},
    serde::de::DeserializeOwned,
    std::str::FromStr,
};

/// Paths without a parameter.
const FIXED_PATHS: &[&str] = &[
    "/v1/rows",
    "/v1/edits",
    "/v1/moves",
    "/v1/burn",
    "/v1/refused",
    "/v1/lifts",
    "/v1/status",
    "/v1/history",
    "/v1/owner",
];
/// Number of history entries in a response unless the request states a limit.
const DEFAULT_HISTORY_LIMIT: usize = 100;

impl<S: TableStore + ObjectStore, C: ControlView> AdminApi<S, C> {
    /// Handles one authorized request.
    pub(super) async fn dispatch(
        &self,
        head: &Parts,
        body: &[u8],
    ) -> Result<JsonResponse, AdminError> {
        let path = head.uri.path();
        let query = Query(head.uri.query().unwrap_or(""));
        if let Some(key) = path.strip_prefix("/v1/rows/") {
            return self.row_call(head, key, body).await;
        }
        match (&head.method, path) {
            (&Method::GET, "/v1/rows") => {
                let kind = query.get("kind").map(|kind| format!("{kind}/"));
                let rows = self.rows(&kind.unwrap_or_default()).await;
                Ok(json_response(StatusCode::OK, &rows))
            }
            (&Method::POST, "/v1/edits") => {
                let wire: EditWire = parse_json(body)?;
                let rows = wire.rows.into_iter().map(RowEdit::try_from);
                let rows = rows.collect::<Result<_, _>>()?;
                self.commit_edit(&head.headers, rows).await
            }
            (&Method::POST, "/v1/moves") => self.move_call(&head.headers, parse_json(body)?).await,
            (&Method::GET, "/v1/refused") => {
                let entries = self.control.crash_entries().await;
                Ok(json_response(
                    StatusCode::OK,
                    &RefusedWire::from(entries.as_slice()),
                ))
            }
            (&Method::POST, "/v1/lifts") => self.lift_call(&head.headers, &parse_json(body)?),
            (&Method::GET, "/v1/burn") => {
                let burn = aggregate_pages(&self.store)
                    .await
                    .map_err(AdminError::platform_unavailable)?;
                Ok(json_response(StatusCode::OK, &burn))
            }
            (&Method::GET, "/v1/status") => Ok(json_response(StatusCode::OK, &self.status().await)),
            (&Method::GET, "/v1/history") => {
                let after = query.parsed_or("after", Revision(0))?;
                let limit = query.count_or("limit", DEFAULT_HISTORY_LIMIT)?;
                let page = self.history(after, limit).await?;
                Ok(json_response(StatusCode::OK, &page))
            }
            (&Method::GET, "/v1/owner") => {
                let service = query.required("service")?.parse().map_err(invalid_id)?;
                let owner = self.owner(service, &query.required("key")?).await?;
                Ok(json_response(StatusCode::OK, &owner))
            }
            (method, path) if FIXED_PATHS.contains(&path) => {
                Err(AdminError::MethodNotAllowed(method.to_string()))
            }
            _ => Err(AdminError::NotFound(path.to_string())),
        }
    }

    async fn row_call(
        &self,
        head: &Parts,
        key: &str,
        body: &[u8],
    ) -> Result<JsonResponse, AdminError> {
        let key = parse_row_key(key)?;
        let row = match head.method {
            Method::GET => {
                let row = self.row(&key).await?;
                return Ok(versioned_response(row.version, &row));
            }
            Method::PUT => Some(Row::try_from(parse_json::<RowWire>(body)?)?),
            Method::DELETE => None,
            _ => return Err(AdminError::MethodNotAllowed(head.method.to_string())),
        };
        let expect = expected_version(&head.headers)?;
        if row.is_none() && expect == Revision(0) {
            return Err(AdminError::MissingVersion);
        }
        let edit = RowEdit { key, expect, row };
        self.commit_edit(&head.headers, vec![edit]).await
    }

    async fn move_call(
        &self,
        headers: &HeaderMap,
        wire: MoveWire,
    ) -> Result<JsonResponse, AdminError> {
        let scope = match (wire.shard, &wire.key) {
            (Some(shard), None) => Scope::Shard(ShardId(shard)),
            (None, Some(key)) => Scope::Key(KeyHash::from_key(key.as_bytes())),
            _ => {
                return Err(AdminError::Malformed(
                    "give either shard or key".to_string(),
                ));
            }
        };
        let request = MoveRequest {
            operator: operator_header(headers)?,
            service: wire.service.parse().map_err(invalid_id)?,
            scope,
            to: wire.to.parse().map_err(invalid_id)?,
        };
        let revision = self.request_move(&request).await?.0;
        Ok(versioned_response(revision, &RevisionWire { revision }))
    }

    fn lift_call(&self, headers: &HeaderMap, wire: &LiftWire) -> Result<JsonResponse, AdminError> {
        let operator = operator_header(headers)?;
        let fingerprint = wire.fingerprint.parse().map_err(invalid_id)?;
        self.control.lift_refusal(fingerprint);
        log::info!("{} {fingerprint} by {operator}", events::CRASH_LIFTED);
        Ok(json_response(StatusCode::OK, wire))
    }

    async fn commit_edit(
        &self,
        headers: &HeaderMap,
        rows: Vec<RowEdit>,
    ) -> Result<JsonResponse, AdminError> {
        let operator = header_text(headers, HEADER_OPERATOR);
        let operator = operator
            .ok_or_else(|| AdminError::Malformed(format!("{HEADER_OPERATOR} is missing")))?;
        let edit = Edit {
            author: operator.to_string(),
            time: unix_time(),
            rows,
        };
        let revision = self.edit(edit).await?.0;
        Ok(versioned_response(revision, &RevisionWire { revision }))
    }
}

/// The version that an edit of one row is based on; 0 if the row must not exist yet.
fn expected_version(headers: &HeaderMap) -> Result<Revision, AdminError> {
    if header_text(headers, header::IF_NONE_MATCH.as_str()) == Some("*") {
        return Ok(Revision(0));
    }
    let tag = header_text(headers, header::IF_MATCH.as_str()).ok_or(AdminError::MissingVersion)?;
    tag.trim_matches('"').parse().map_err(invalid_id)
}

fn operator_header(headers: &HeaderMap) -> Result<String, AdminError> {
    let operator = header_text(headers, HEADER_OPERATOR).map(str::to_string);
    operator.ok_or_else(|| AdminError::Malformed(format!("{HEADER_OPERATOR} is missing")))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, AdminError> {
    let mut json = serde_json::Deserializer::from_slice(body);
    let parsed = serde_path_to_error::deserialize(&mut json);
    parsed.map_err(|error| {
        let field = error.path().to_string();
        AdminError::Malformed(format!("field '{field}': {}", error.inner()))
    })
}

fn invalid_id(error: ParseIdError) -> AdminError {
    AdminError::Malformed(error.to_string())
}

/// The query string of a request.
struct Query<'a>(&'a str);

impl Query<'_> {
    fn get(&self, name: &str) -> Option<String> {
        let mut pairs = self.0.split('&').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.find(|(key, _)| *key == name)?;
        Some(percent_decode(value))
    }

    fn required(&self, name: &str) -> Result<String, AdminError> {
        let value = self.get(name);
        value.ok_or_else(|| AdminError::Malformed(format!("query parameter '{name}' is missing")))
    }

    fn parsed_or<T>(&self, name: &str, default: T) -> Result<T, AdminError>
    where
        T: FromStr<Err = ParseIdError>,
    {
        match self.get(name) {
            None => Ok(default),
            Some(text) => text.parse().map_err(invalid_id),
        }
    }

    fn count_or(&self, name: &str, default: usize) -> Result<usize, AdminError> {
        let bad = |_| AdminError::Malformed(format!("query parameter '{name}' is not a number"));
        match self.get(name) {
            None => Ok(default),
            Some(text) => text.parse().map_err(bad),
        }
    }
}

/// Decodes percent escapes. Invalid escapes are left as they are.
fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&first, tail)) = rest.split_first() {
        let escaped = match first {
            b'%' => tail.get(..2).and_then(hex_byte),
            _ => None,
        };
        bytes.push(escaped.unwrap_or(first));
        rest = if escaped.is_some() { &tail[2..] } else { tail };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn hex_byte(digits: &[u8]) -> Option<u8> {
    let text = std::str::from_utf8(digits).ok()?;
    let is_hex = text.bytes().all(|digit| digit.is_ascii_hexdigit());
    is_hex.then(|| u8::from_str_radix(text, 16).ok())?
}
