//! Commands that change one field of one row.

use {
    super::finish,
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
    let key = format!("server/{}", name(&mut args)?);
    finish(args)?;
    set(client, options, &key, &[("state", state.into())]).await
}

/// `cap SERVER RATE|none`
pub async fn cap(mut args: Arguments, options: &Options, client: &Client) -> Result<(), CtlError> {
    let key = format!("server/{}", name(&mut args)?);
    let rate: String = args.free_from_str()?;
    finish(args)?;
    let cap = match rate.as_str() {
        "none" => Value::Null,
        rate => sheet::value("cap", rate)?.unwrap_or(Value::Null),
    };
    set(client, options, &key, &[("cap", cap)]).await
}

/// `retire SERVER`
pub async fn retire(
    mut args: Arguments,
    options: &Options,
    client: &Client,
) -> Result<(), CtlError> {
    let key = format!("server/{}", name(&mut args)?);
    finish(args)?;
    set(client, options, &key, &[("state", "retired".into())]).await
}

/// `declare-lost DOMAIN [--undo]`
pub async fn declare_lost(
    mut args: Arguments,
    options: &Options,
    client: &Client,
) -> Result<(), CtlError> {
    let by = match args.contains("--undo") {
        true => Value::Null,
        false => options.by.as_str().into(),
    };
    let key = format!("domain/{}", name(&mut args)?);
    finish(args)?;
    set(client, options, &key, &[("lost_by", by)]).await
}

fn name(args: &mut Arguments) -> Result<String, CtlError> {
    Ok(args.free_from_str()?)
}

async fn set(
    client: &Client,
    options: &Options,
    key: &str,
    values: &[(&str, Value)],
) -> Result<(), CtlError> {
    let table = client.rows(None).await?;
    let row = find(&table, key)?;
    let edit = changed(row, row.version, values)?;
    let edits = edit.into_iter().collect();
    confirm::apply(client, options, &table, edits, false).await
}

/// A row of the table.
pub fn find<'a>(table: &'a RowsWire, key: &str) -> Result<&'a VersionedRowWire, CtlError> {
    let found = table.rows.iter().find(|row| row.key == key);
    found.ok_or_else(|| CtlError::Failed(format!("there is no {key}")))
}

/// The edit that sets fields of a row; null takes a field out, and `None` says
/// that nothing changes.
pub fn changed(
    row: &VersionedRowWire,
    version: u64,
    values: &[(&str, Value)],
) -> Result<Option<RowEditWire>, CtlError> {
    let before = sheet::fields(&row.row);
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
        row: Some(sheet::row(after)?),
    }))
}
