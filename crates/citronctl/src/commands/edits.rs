//! Commands that set a field of one row.

use {
    super::reject_extra_args,
    crate::{
        args::Options,
        client::Client,
        confirm,
        error::CtlError,
        sheet::{self, Fields},
    },
    citron_wire::admin::{RowEditWire, RowsWire, VersionedRowWire},
    pico_args::Arguments,
    serde_json::Value,
};

/// `drain SERVER [--undo]`
pub async fn drain(
    mut args: Arguments,
    options: &Options,
    client: &Client,
) -> Result<(), CtlError> {
    let state = match args.contains("--undo") {
        true => "active",
        false => "draining",
    };
    let key = format!("server/{}", parse_name(&mut args)?);
    reject_extra_args(args)?;
    set_fields(client, options, &key, &[("state", state.into())]).await
}

/// `cap SERVER RATE|none`
pub async fn cap(mut args: Arguments, options: &Options, client: &Client) -> Result<(), CtlError> {
    let key = format!("server/{}", parse_name(&mut args)?);
    let rate: String = args.free_from_str()?;
    reject_extra_args(args)?;
    let cap = match rate.as_str() {
        "none" => Value::Null,
        rate => sheet::parse_cell("cap", rate)?.unwrap_or(Value::Null),
    };
    set_fields(client, options, &key, &[("cap", cap)]).await
}

/// `retire SERVER`
pub async fn retire(
    mut args: Arguments,
    options: &Options,
    client: &Client,
) -> Result<(), CtlError> {
    let key = format!("server/{}", parse_name(&mut args)?);
    reject_extra_args(args)?;
    set_fields(client, options, &key, &[("state", "retired".into())]).await
}

/// `declare-lost DOMAIN [--undo]`
pub async fn declare_lost(
    mut args: Arguments,
    options: &Options,
    client: &Client,
) -> Result<(), CtlError> {
    let author = match args.contains("--undo") {
        true => Value::Null,
        false => options.author.as_str().into(),
    };
    let key = format!("domain/{}", parse_name(&mut args)?);
    reject_extra_args(args)?;
    set_fields(client, options, &key, &[("lost_by", author)]).await
}

fn parse_name(args: &mut Arguments) -> Result<String, CtlError> {
    Ok(args.free_from_str()?)
}

async fn set_fields(
    client: &Client,
    options: &Options,
    key: &str,
    values: &[(&str, Value)],
) -> Result<(), CtlError> {
    let table = client.rows(None).await?;
    let row = find_row(&table, key)?;
    let edit = field_edit(row, row.version, values)?;
    let edits = edit.into_iter().collect();
    confirm::apply(client, options, &table, edits, false).await
}

/// Returns the row with this key.
///
/// # Errors
/// If the table has no such row.
pub fn find_row<'a>(table: &'a RowsWire, key: &str) -> Result<&'a VersionedRowWire, CtlError> {
    let row = table.rows.iter().find(|row| row.key == key);
    row.ok_or_else(|| CtlError::Failed(format!("there is no {key}")))
}

/// Builds the edit that sets fields of a row; null removes a field. `None` if the row
/// already has these values.
///
/// # Errors
/// If the result is not a valid row.
pub fn field_edit(
    row: &VersionedRowWire,
    version: u64,
    values: &[(&str, Value)],
) -> Result<Option<RowEditWire>, CtlError> {
    let before = sheet::row_fields(&row.row);
    let mut after: Fields = before.clone();
    for (field, value) in values {
        match value {
            Value::Null => after.remove(*field),
            value => after.insert((*field).to_string(), value.clone()),
        };
    }
    if before == after {
        return Ok(None);
    }
    Ok(Some(RowEditWire {
        key: row.key.clone(),
        version,
        row: Some(sheet::row_from_fields(after)?),
    }))
}
