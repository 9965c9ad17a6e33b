//! Which call a request is.

use {
    super::{
        Admin, AdminError, ControlView,
        editor::{Moving, wall_clock},
        response::{Answer, json, tagged},
    },
    crate::{events, slo::gather},
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

/// Paths without a name in them.
const PATHS: &[&str] = &[
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
/// History entries in one answer unless the caller says otherwise.
const HISTORY: usize = 100;

impl<S: TableStore + ObjectStore, C: ControlView> Admin<S, C> {
    /// Answers one call of somebody who may call.
    pub(super) async fn answer(&self, head: &Parts, body: &[u8]) -> Result<Answer, AdminError> {
        let path = head.uri.path();
        let query = Query(head.uri.query().unwrap_or(""));
        if let Some(key) = path.strip_prefix("/v1/rows/") {
            return self.row_call(head, key, body).await;
        }
        match (&head.method, path) {
            (&Method::GET, "/v1/rows") => {
                let kind = query.get("kind").map(|kind| format!("{kind}/"));
                let rows = self.rows(&kind.unwrap_or_default()).await;
                Ok(json(StatusCode::OK, &rows))
            }
            (&Method::POST, "/v1/edits") => {
                let wire: EditWire = read(body)?;
                let rows = wire.rows.into_iter().map(RowEdit::try_from);
                let rows = rows.collect::<Result<_, _>>()?;
                self.take(&head.headers, rows).await
            }
            (&Method::POST, "/v1/moves") => self.move_call(&head.headers, read(body)?).await,
            (&Method::GET, "/v1/refused") => {
                let entries = self.control.crashes().await;
                Ok(json(StatusCode::OK, &RefusedWire::from(entries.as_slice())))
            }
            (&Method::POST, "/v1/lifts") => self.lift_call(&head.headers, &read(body)?),
            (&Method::GET, "/v1/burn") => {
                let burn = gather(&self.store).await.map_err(AdminError::unread)?;
                Ok(json(StatusCode::OK, &burn))
            }
            (&Method::GET, "/v1/status") => Ok(json(StatusCode::OK, &self.status().await)),
            (&Method::GET, "/v1/history") => {
                let after = query.number("after", Revision(0))?;
                let limit = query.count("limit", HISTORY)?;
                let page = self.history(after, limit).await?;
                Ok(json(StatusCode::OK, &page))
            }
            (&Method::GET, "/v1/owner") => {
                let service = query.must("service")?.parse().map_err(bad_id)?;
                let owner = self.owner(service, &query.must("key")?).await?;
                Ok(json(StatusCode::OK, &owner))
            }
            (method, path) if PATHS.contains(&path) => Err(AdminError::Method(method.to_string())),
            _ => Err(AdminError::NotFound(path.to_string())),
        }
    }

    async fn row_call(&self, head: &Parts, key: &str, body: &[u8]) -> Result<Answer, AdminError> {
        let key = parse_row_key(key)?;
        let row = match head.method {
            Method::GET => {
                let row = self.row(&key).await?;
                return Ok(tagged(row.version, &row));
            }
            Method::PUT => Some(Row::try_from(read::<RowWire>(body)?)?),
            Method::DELETE => None,
            _ => return Err(AdminError::Method(head.method.to_string())),
        };
        let expect = expected(&head.headers)?;
        if row.is_none() && expect == Revision(0) {
            return Err(AdminError::NoVersion);
        }
        let edit = RowEdit { key, expect, row };
        self.take(&head.headers, vec![edit]).await
    }

    async fn move_call(&self, headers: &HeaderMap, wire: MoveWire) -> Result<Answer, AdminError> {
        let scope = match (wire.shard, &wire.key) {
            (Some(shard), None) => Scope::Shard(ShardId(shard)),
            (None, Some(key)) => Scope::Key(KeyHash::from_key(key.as_bytes())),
            _ => {
                return Err(AdminError::Malformed(
                    "name either shard or key".to_string(),
                ));
            }
        };
        let moving = Moving {
            by: operator(headers)?,
            service: wire.service.parse().map_err(bad_id)?,
            scope,
            to: wire.to.parse().map_err(bad_id)?,
        };
        let revision = self.begin(&moving).await?.0;
        Ok(tagged(revision, &RevisionWire { revision }))
    }

    fn lift_call(&self, headers: &HeaderMap, wire: &LiftWire) -> Result<Answer, AdminError> {
        let by = operator(headers)?;
        let print = wire.fingerprint.parse().map_err(bad_id)?;
        self.control.lift(print);
        log::info!("{} {print} by {by}", events::CRASH_LIFTED);
        Ok(json(StatusCode::OK, wire))
    }

    async fn take(&self, headers: &HeaderMap, rows: Vec<RowEdit>) -> Result<Answer, AdminError> {
        let by = text(headers, HEADER_OPERATOR);
        let by =
            by.ok_or_else(|| AdminError::Malformed(format!("{HEADER_OPERATOR} is missing")))?;
        let edit = Edit {
            author: by.to_string(),
            time: wall_clock(),
            rows,
        };
        let revision = self.edit(edit).await?.0;
        Ok(tagged(revision, &RevisionWire { revision }))
    }
}

/// The version that an edit of one row names.
fn expected(headers: &HeaderMap) -> Result<Revision, AdminError> {
    if text(headers, header::IF_NONE_MATCH.as_str()) == Some("*") {
        return Ok(Revision(0));
    }
    let tag = text(headers, header::IF_MATCH.as_str()).ok_or(AdminError::NoVersion)?;
    tag.trim_matches('"').parse().map_err(bad_id)
}

fn operator(headers: &HeaderMap) -> Result<String, AdminError> {
    let by = text(headers, HEADER_OPERATOR).map(str::to_string);
    by.ok_or_else(|| AdminError::Malformed(format!("{HEADER_OPERATOR} is missing")))
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn read<T: DeserializeOwned>(body: &[u8]) -> Result<T, AdminError> {
    let mut json = serde_json::Deserializer::from_slice(body);
    let parsed = serde_path_to_error::deserialize(&mut json);
    parsed.map_err(|error| {
        let field = error.path().to_string();
        AdminError::Malformed(format!("field '{field}': {}", error.inner()))
    })
}

fn bad_id(error: ParseIdError) -> AdminError {
    AdminError::Malformed(error.to_string())
}

/// The query of a request.
struct Query<'a>(&'a str);

impl Query<'_> {
    fn get(&self, name: &str) -> Option<String> {
        let mut pairs = self.0.split('&').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.find(|(key, _)| *key == name)?;
        Some(decode(value))
    }

    fn must(&self, name: &str) -> Result<String, AdminError> {
        let value = self.get(name);
        value.ok_or_else(|| AdminError::Malformed(format!("query parameter '{name}' is missing")))
    }

    fn number<T>(&self, name: &str, default: T) -> Result<T, AdminError>
    where
        T: FromStr<Err = ParseIdError>,
    {
        match self.get(name) {
            None => Ok(default),
            Some(text) => text.parse().map_err(bad_id),
        }
    }

    fn count(&self, name: &str, default: usize) -> Result<usize, AdminError> {
        let bad = |_| AdminError::Malformed(format!("query parameter '{name}' is not a number"));
        match self.get(name) {
            None => Ok(default),
            Some(text) => text.parse().map_err(bad),
        }
    }
}

/// Decodes percent escapes; what is not one stays as it stands.
fn decode(text: &str) -> String {
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
    let plain = text.bytes().all(|digit| digit.is_ascii_hexdigit());
    plain.then(|| u8::from_str_radix(text, 16).ok())?
}
