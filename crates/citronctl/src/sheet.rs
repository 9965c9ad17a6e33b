//! Conversion of rows to and from CSV and JSON, with one column per field.

use {
    crate::error::CtlError,
    citron_wire::{
        admin::VersionedRowWire,
        row::{RowWire, parse_row_key},
    },
    serde_json::{Map, Value},
    std::collections::BTreeSet,
};

/// Fields with a number; an empty cell leaves the field out.
const NUMBER_FIELDS: &[&str] = &[
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
/// Fields with `true` or `false`.
const BOOL_FIELDS: &[&str] = &["fenced"];
/// Fields with a list, whose items are separated by spaces in a cell.
const LIST_FIELDS: &[&str] = &["hosts", "idempotent"];
/// Columns that precede all others, in this order.
const LEADING_COLUMNS: &[&str] = &["kind", "version", "name", "id", "service", "domain"];

/// Fields of a row by name.
pub type Fields = Map<String, Value>;

/// A row of a file to import.
#[derive(Debug)]
pub struct ImportRow {
    /// Version that the row must have in the table, if the file gives one.
    pub version: Option<u64>,
    /// The new row.
    pub row: RowWire,
}

/// Returns the fields of a row.
pub fn row_fields(row: &RowWire) -> Fields {
    match serde_json::to_value(row) {
        Ok(Value::Object(fields)) => fields,
        _ => Fields::new(),
    }
}

/// Builds a row from its fields.
///
/// # Errors
/// If a field is missing, unknown or not valid.
pub fn row_from_fields(fields: Fields) -> Result<RowWire, CtlError> {
    let invalid = |error: serde_json::Error| CtlError::Usage(error.to_string());
    serde_json::from_value(Value::Object(fields)).map_err(invalid)
}

/// Returns the key of a row, `kind/name`.
///
/// # Errors
/// If the name is not valid.
pub fn row_key(row: &RowWire) -> Result<String, CtlError> {
    let fields = row_fields(row);
    let text = |name: &str| fields.get(name).and_then(Value::as_str).unwrap_or("");
    let name = if text("name").is_empty() {
        text("id")
    } else {
        text("name")
    };
    let key = format!("{}/{name}", text("kind"));
    let invalid = |error: citron_wire::WireError| CtlError::Usage(error.to_string());
    Ok(parse_row_key(&key).map_err(invalid)?.to_string())
}

/// Formats a field as the text of a cell.
pub fn cell_text(value: Option<&Value>) -> String {
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

/// Parses the cell of a field. `None` leaves the field out.
///
/// # Errors
/// If the cell does not have the field's type.
pub fn parse_cell(field: &str, cell: &str) -> Result<Option<Value>, CtlError> {
    let invalid = |what: &str| CtlError::Usage(format!("{field}: '{cell}' is not {what}"));
    if LIST_FIELDS.contains(&field) {
        let items = cell.split_whitespace().map(Value::from);
        return Ok(Some(items.collect()));
    }
    if cell.is_empty() {
        return Ok(None);
    }
    if NUMBER_FIELDS.contains(&field) {
        let number: u64 = cell.parse().map_err(|_| invalid("a number"))?;
        return Ok(Some(number.into()));
    }
    if BOOL_FIELDS.contains(&field) {
        let flag: bool = cell.parse().map_err(|_| invalid("true or false"))?;
        return Ok(Some(flag.into()));
    }
    Ok(Some(cell.into()))
}

/// Returns the headings and the cells of rows, without the excluded columns.
pub fn headings_and_cells(
    rows: &[VersionedRowWire],
    excluded: &[&str],
) -> (Vec<String>, Vec<Vec<String>>) {
    let records: Vec<Fields> = rows.iter().map(with_version).collect();
    let mut names: BTreeSet<&str> = records
        .iter()
        .flat_map(Map::keys)
        .map(String::as_str)
        .collect();
    names.retain(|name| !excluded.contains(name));
    let mut headings: Vec<String> = Vec::new();
    for name in LEADING_COLUMNS {
        if names.remove(name) {
            headings.push((*name).to_string());
        }
    }
    headings.extend(names.into_iter().map(str::to_string));
    let line = |fields: &Fields| {
        headings
            .iter()
            .map(|heading| cell_text(fields.get(heading)))
            .collect()
    };
    let lines = records.iter().map(line).collect();
    (headings, lines)
}

fn with_version(row: &VersionedRowWire) -> Fields {
    let mut fields = row_fields(&row.row);
    fields.insert("version".to_string(), row.version.into());
    fields
}

/// Formats rows as CSV.
pub fn to_csv(rows: &[VersionedRowWire]) -> Result<String, CtlError> {
    let (headings, lines) = headings_and_cells(rows, &[]);
    let mut writer = csv::Writer::from_writer(Vec::new());
    let failed = |error: csv::Error| CtlError::Failed(error.to_string());
    writer.write_record(&headings).map_err(failed)?;
    for line in &lines {
        writer.write_record(line).map_err(failed)?;
    }
    let bytes = writer
        .into_inner()
        .map_err(|error| CtlError::Failed(error.to_string()))?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// Parses rows from CSV with headings.
pub fn from_csv(text: &str) -> Result<Vec<ImportRow>, CtlError> {
    let mut reader = csv::ReaderBuilder::new()
        .trim(csv::Trim::All)
        .from_reader(text.as_bytes());
    let invalid = |error: csv::Error| CtlError::Usage(error.to_string());
    let headings = reader.headers().map_err(invalid)?.clone();
    let mut lines = Vec::new();
    for (number, record) in reader.records().enumerate() {
        let record = record.map_err(invalid)?;
        let line = parse_csv_row(&headings, &record);
        // Line 1 has the headings, and lines are counted from 1.
        let with_line_number =
            |error: CtlError| CtlError::Usage(format!("line {}: {error}", number + 2));
        lines.push(line.map_err(with_line_number)?);
    }
    Ok(lines)
}

fn parse_csv_row(
    headings: &csv::StringRecord,
    record: &csv::StringRecord,
) -> Result<ImportRow, CtlError> {
    let mut fields = Fields::new();
    let mut version = None;
    for (heading, cell) in headings.iter().zip(record) {
        if heading == "version" {
            version = parse_version(cell)?;
            continue;
        }
        // A file with several kinds has columns that do not apply to all of them.
        let is_empty = cell.is_empty();
        if let Some(value) = parse_cell(heading, cell)?.filter(|_| !is_empty) {
            fields.insert(heading.to_string(), value);
        }
    }
    if fields.get("kind").and_then(Value::as_str) == Some("service") {
        fields
            .entry("idempotent")
            .or_insert_with(|| Value::Array(Vec::new()));
    }
    let row = row_from_fields(fields)?;
    Ok(ImportRow { version, row })
}

fn parse_version(cell: &str) -> Result<Option<u64>, CtlError> {
    if cell.is_empty() {
        return Ok(None);
    }
    let invalid = |_| CtlError::Usage(format!("version: '{cell}' is not a number"));
    cell.parse().map(Some).map_err(invalid)
}

/// Parses rows from a JSON array, with or without the versions that `export` writes.
pub fn from_json(text: &str) -> Result<Vec<ImportRow>, CtlError> {
    let invalid = |error: serde_json::Error| CtlError::Usage(error.to_string());
    let items: Vec<Value> = serde_json::from_str(text).map_err(invalid)?;
    let lines = items.into_iter().map(|item| {
        if item.get("row").is_some() {
            let wire: VersionedRowWire = serde_json::from_value(item).map_err(invalid)?;
            let version = Some(wire.version);
            return Ok(ImportRow {
                version,
                row: wire.row,
            });
        }
        let row = serde_json::from_value(item).map_err(invalid)?;
        Ok(ImportRow { version: None, row })
    });
    lines.collect()
}
