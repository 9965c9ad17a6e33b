//! Rows as a spreadsheet has them: one line a row, one column a field.

use {
    crate::error::CtlError,
    citron_wire::{
        admin::VersionedRowWire,
        row::{RowWire, parse_row_key},
    },
    serde_json::{Map, Value},
    std::collections::BTreeSet,
};

/// Fields that hold a number; an empty cell leaves the field out.
const NUMBERS: &[&str] = &[
    "weight",
    "cap",
    "slots",
    "connections",
    "shard_bits",
    "deadline_ms",
    "grace_ms",
    "moves_minute",
    "moves_threshold",
    "slo_failures",
    "slo_latency_ms",
    "slo_slower",
];
/// Fields that hold true or false.
const FLAGS: &[&str] = &["fenced"];
/// Fields that hold a list; cells separate its items by spaces.
const LISTS: &[&str] = &["hosts", "idempotent"];
/// Columns that come first.
const FIRST: &[&str] = &["kind", "version", "name", "id", "service", "domain"];

/// Fields of a row.
pub type Fields = Map<String, Value>;

/// A line of a file that is to be imported.
#[derive(Debug)]
pub struct Line {
    /// The version that the file names.
    pub version: Option<u64>,
    /// The row.
    pub row: RowWire,
}

/// The fields of a row.
pub fn fields(row: &RowWire) -> Fields {
    match serde_json::to_value(row) {
        Ok(Value::Object(fields)) => fields,
        _ => Fields::new(),
    }
}

/// A row from its fields.
pub fn row(fields: Fields) -> Result<RowWire, CtlError> {
    let bad = |error: serde_json::Error| CtlError::Usage(error.to_string());
    serde_json::from_value(Value::Object(fields)).map_err(bad)
}

/// The key of a row.
pub fn key(row: &RowWire) -> Result<String, CtlError> {
    let fields = fields(row);
    let text = |name: &str| fields.get(name).and_then(Value::as_str).unwrap_or("");
    let name = if text("name").is_empty() {
        text("id")
    } else {
        text("name")
    };
    let key = format!("{}/{name}", text("kind"));
    let bad = |error: citron_wire::WireError| CtlError::Usage(error.to_string());
    Ok(parse_row_key(&key).map_err(bad)?.to_string())
}

/// A field as a cell shows it.
pub fn cell(value: Option<&Value>) -> String {
    match value {
        None | Some(Value::Null) => String::new(),
        Some(Value::String(text)) => text.clone(),
        Some(Value::Array(items)) if items.iter().all(Value::is_string) => {
            let items = items.iter().filter_map(Value::as_str);
            items.collect::<Vec<_>>().join(" ")
        }
        Some(other) => other.to_string(),
    }
}

/// A field from a cell; `None` leaves it out.
pub fn value(field: &str, cell: &str) -> Result<Option<Value>, CtlError> {
    let bad = |what: &str| CtlError::Usage(format!("{field}: '{cell}' is not {what}"));
    if LISTS.contains(&field) {
        let items = cell.split_whitespace().map(Value::from);
        return Ok(Some(items.collect()));
    }
    if cell.is_empty() {
        return Ok(None);
    }
    if NUMBERS.contains(&field) {
        let number: u64 = cell.parse().map_err(|_| bad("a number"))?;
        return Ok(Some(number.into()));
    }
    if FLAGS.contains(&field) {
        let flag: bool = cell.parse().map_err(|_| bad("true or false"))?;
        return Ok(Some(flag.into()));
    }
    Ok(Some(cell.into()))
}

/// Headings and cells of rows, but for columns to leave out.
pub fn cells(rows: &[VersionedRowWire], without: &[&str]) -> (Vec<String>, Vec<Vec<String>>) {
    let whole: Vec<Fields> = rows.iter().map(with_version).collect();
    let mut names: BTreeSet<&str> = whole
        .iter()
        .flat_map(Map::keys)
        .map(String::as_str)
        .collect();
    names.retain(|name| !without.contains(name));
    let mut heads: Vec<String> = Vec::new();
    for name in FIRST {
        if names.remove(name) {
            heads.push((*name).to_string());
        }
    }
    heads.extend(names.into_iter().map(str::to_string));
    let line = |fields: &Fields| heads.iter().map(|head| cell(fields.get(head))).collect();
    let lines = whole.iter().map(line).collect();
    (heads, lines)
}

fn with_version(row: &VersionedRowWire) -> Fields {
    let mut fields = fields(&row.row);
    fields.insert("version".to_string(), row.version.into());
    fields
}

/// Rows as CSV.
pub fn to_csv(rows: &[VersionedRowWire]) -> Result<String, CtlError> {
    let (heads, lines) = cells(rows, &[]);
    let mut writer = csv::Writer::from_writer(Vec::new());
    let failed = |error: csv::Error| CtlError::Failed(error.to_string());
    writer.write_record(&heads).map_err(failed)?;
    for line in &lines {
        writer.write_record(line).map_err(failed)?;
    }
    let bytes = writer
        .into_inner()
        .map_err(|error| CtlError::Failed(error.to_string()))?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// Rows from CSV with headings.
pub fn from_csv(text: &str) -> Result<Vec<Line>, CtlError> {
    let mut reader = csv::ReaderBuilder::new()
        .trim(csv::Trim::All)
        .from_reader(text.as_bytes());
    let bad = |error: csv::Error| CtlError::Usage(error.to_string());
    let heads = reader.headers().map_err(bad)?.clone();
    let mut lines = Vec::new();
    for (number, record) in reader.records().enumerate() {
        let record = record.map_err(bad)?;
        let line = csv_line(&heads, &record);
        // The headings are line 1.
        let place = |error: CtlError| CtlError::Usage(format!("line {}: {error}", number + 2));
        lines.push(line.map_err(place)?);
    }
    Ok(lines)
}

fn csv_line(heads: &csv::StringRecord, record: &csv::StringRecord) -> Result<Line, CtlError> {
    let mut fields = Fields::new();
    let mut version = None;
    for (head, cell) in heads.iter().zip(record) {
        if head == "version" {
            version = version_cell(cell)?;
            continue;
        }
        // A sheet of several kinds has columns that only some of them know.
        let empty = cell.is_empty();
        if let Some(value) = value(head, cell)?.filter(|_| !empty) {
            fields.insert(head.to_string(), value);
        }
    }
    if fields.get("kind").and_then(Value::as_str) == Some("service") {
        fields
            .entry("idempotent")
            .or_insert_with(|| Value::Array(Vec::new()));
    }
    let row = row(fields)?;
    Ok(Line { version, row })
}

fn version_cell(cell: &str) -> Result<Option<u64>, CtlError> {
    if cell.is_empty() {
        return Ok(None);
    }
    let bad = |_| CtlError::Usage(format!("version: '{cell}' is not a number"));
    cell.parse().map(Some).map_err(bad)
}

/// Rows from a JSON array of rows, bare or as `export` writes them.
pub fn from_json(text: &str) -> Result<Vec<Line>, CtlError> {
    let bad = |error: serde_json::Error| CtlError::Usage(error.to_string());
    let items: Vec<Value> = serde_json::from_str(text).map_err(bad)?;
    let lines = items.into_iter().map(|item| {
        if item.get("row").is_some() {
            let wire: VersionedRowWire = serde_json::from_value(item).map_err(bad)?;
            let version = Some(wire.version);
            return Ok(Line {
                version,
                row: wire.row,
            });
        }
        let row = serde_json::from_value(item).map_err(bad)?;
        Ok(Line { version: None, row })
    });
    lines.collect()
}
