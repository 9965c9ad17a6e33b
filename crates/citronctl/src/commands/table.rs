//! `table show|set|import|export|delete`

use {
    super::{
        edits::{field_edit, find_row},
        reject_extra_args,
    },
    crate::{
        args::Options,
        client::Client,
        confirm,
        error::CtlError,
        grid,
        sheet::{self, ImportRow},
    },
    citron_wire::admin::{RowEditWire, RowsWire, VersionedRowWire},
    pico_args::Arguments,
    serde_json::Value,
    std::fs,
};

/// Kinds of rows that operators edit.
const OPERATOR_KINDS: &[&str] = &["domain", "service", "server"];

/// Runs a `table` command.
///
/// # Errors
/// If the arguments are not valid, or the call fails.
pub async fn run(mut args: Arguments, options: &Options, client: &Client) -> Result<(), CtlError> {
    match args.subcommand()?.as_deref() {
        Some("show") => show(args, client, "table").await,
        Some("export") => show(args, client, "csv").await,
        Some("import") => import(args, options, client).await,
        Some("set") => set(args, options, client).await,
        Some("delete") => delete(args, options, client).await,
        _ => Err(CtlError::Usage(
            "unknown table command; allowed: show, set, import, export, delete".to_string(),
        )),
    }
}

async fn show(mut args: Arguments, client: &Client, default_format: &str) -> Result<(), CtlError> {
    let format: Option<String> = args.opt_value_from_str("--format")?;
    let kind: Option<String> = args.opt_free_from_str()?;
    reject_extra_args(args)?;
    let mut table = client.rows(kind.as_deref()).await?;
    if kind.is_none() {
        table
            .rows
            .retain(|row| OPERATOR_KINDS.contains(&row_kind(row)));
    }
    match format.as_deref().unwrap_or(default_format) {
        "table" => print!("{}", format_table(&table)),
        "csv" => print!("{}", sheet::to_csv(&table.rows)?),
        "json" => println!("{}", to_json(&table)?),
        other => {
            let message = format!("--format is '{other}'; allowed: table, csv, json");
            return Err(CtlError::Usage(message));
        }
    }
    Ok(())
}

fn row_kind(row: &VersionedRowWire) -> &str {
    row.key.split('/').next().unwrap_or("")
}

/// Formats each kind as a table of its own, as their columns differ.
fn format_table(table: &RowsWire) -> String {
    let mut text = String::new();
    for rows in table
        .rows
        .chunk_by(|one, next| row_kind(one) == row_kind(next))
    {
        let (headings, lines) = sheet::headings_and_cells(rows, &["kind"]);
        text.push_str(&grid::layout(&headings, &lines));
        text.push('\n');
    }
    let staleness = if table.fresh {
        ""
    } else {
        " may be out of date: the instance cannot reach the platform"
    };
    text.push_str(&format!("revision {}{staleness}\n", table.revision));
    text
}

fn to_json(table: &RowsWire) -> Result<String, CtlError> {
    let failed = |error: serde_json::Error| CtlError::Failed(error.to_string());
    serde_json::to_string_pretty(&table.rows).map_err(failed)
}

async fn import(mut args: Arguments, options: &Options, client: &Client) -> Result<(), CtlError> {
    let dry_run = args.contains("--dry-run");
    let file: String = args.free_from_str()?;
    reject_extra_args(args)?;
    let text = fs::read_to_string(&file);
    let text = text.map_err(|error| CtlError::Usage(format!("{file}: {error}")))?;
    let lines = match text.trim_start().starts_with('[') {
        true => sheet::from_json(&text)?,
        false => sheet::from_csv(&text)?,
    };
    let table = client.rows(None).await?;
    let mut edits = Vec::new();
    for line in lines {
        edits.extend(import_edit(line, &table)?);
    }
    confirm::apply(client, options, &table, edits, dry_run).await
}

/// Builds the edit for an imported row. `None` if the table already has this row.
fn import_edit(imported: ImportRow, table: &RowsWire) -> Result<Option<RowEditWire>, CtlError> {
    let key = sheet::row_key(&imported.row)?;
    let current = table.rows.iter().find(|row| row.key == key);
    let is_unchanged =
        |row: &VersionedRowWire| sheet::row_fields(&row.row) == sheet::row_fields(&imported.row);
    if current.is_some_and(is_unchanged) {
        return Ok(None);
    }
    let version = imported.version.or(current.map(|row| row.version));
    Ok(Some(RowEditWire {
        key,
        version: version.unwrap_or(0),
        row: Some(imported.row),
    }))
}

async fn set(mut args: Arguments, options: &Options, client: &Client) -> Result<(), CtlError> {
    let dry_run = args.contains("--dry-run");
    let version: Option<u64> = args.opt_value_from_str("--version")?;
    let key: String = args.free_from_str()?;
    let mut values: Vec<(String, Value)> = Vec::new();
    while let Some(word) = args.opt_free_from_str::<String>()? {
        let (field, cell) = word
            .split_once('=')
            .ok_or_else(|| CtlError::Usage(format!("'{word}' is not FIELD=VALUE")))?;
        let value = sheet::parse_cell(field, cell)?.unwrap_or(Value::Null);
        values.push((field.to_string(), value));
    }
    reject_extra_args(args)?;
    let table = client.rows(None).await?;
    let row = find_row(&table, &key)?;
    let values = values
        .iter()
        .map(|(field, value)| (field.as_str(), value.clone()));
    let values: Vec<_> = values.collect();
    let edit = field_edit(row, version.unwrap_or(row.version), &values)?;
    confirm::apply(client, options, &table, edit.into_iter().collect(), dry_run).await
}

async fn delete(mut args: Arguments, options: &Options, client: &Client) -> Result<(), CtlError> {
    let dry_run = args.contains("--dry-run");
    let version: Option<u64> = args.opt_value_from_str("--version")?;
    let key: String = args.free_from_str()?;
    reject_extra_args(args)?;
    let table = client.rows(None).await?;
    let row = find_row(&table, &key)?;
    let edit = RowEditWire {
        version: version.unwrap_or(row.version),
        key,
        row: None,
    };
    confirm::apply(client, options, &table, vec![edit], dry_run).await
}
