//! Encoding of changed rows in a message.

use {
    super::requests::read_text,
    crate::{
        WireError,
        error::invalid_value,
        peer_capnp::{change, changes},
        row::{RowWire, parse_row_key},
    },
    citron_core::{
        id::Revision,
        table::{Changes, Row, RowKey},
    },
};

type ChangedRow = (RowKey, Revision, Option<Row>);

/// Writes changes to a message.
///
/// # Errors
/// [`WireError`] if a row cannot be encoded. An empty text in its place would mean that the
/// row was deleted.
pub fn write_changes(core: &Changes, mut builder: changes::Builder<'_>) -> Result<(), WireError> {
    builder.set_since(core.since.0);
    builder.set_revision(core.revision.0);
    let mut rows = builder.init_rows(core.rows.len() as u32);
    for (index, row) in core.rows.iter().enumerate() {
        write_row(row, rows.reborrow().get(index as u32))?;
    }
    Ok(())
}

fn write_row(
    (key, version, row): &ChangedRow,
    mut builder: change::Builder<'_>,
) -> Result<(), WireError> {
    builder.set_key(key.to_string().as_str());
    builder.set_version(version.0);
    let Some(row) = row else {
        return Ok(());
    };
    let json = serde_json::to_string(&RowWire::from(row));
    let json = json.map_err(|error| WireError::MalformedMessage(error.to_string()))?;
    builder.set_value(json.as_str());
    Ok(())
}

/// Reads changes from a message.
///
/// # Errors
/// [`WireError`] for the first row that is not valid.
pub fn read_changes(reader: changes::Reader<'_>) -> Result<Changes, WireError> {
    let rows = reader
        .get_rows()
        .map_err(|error| WireError::MalformedMessage(error.to_string()))?;
    Ok(Changes {
        since: Revision(reader.get_since()),
        revision: Revision(reader.get_revision()),
        rows: rows.iter().map(read_row).collect::<Result<_, _>>()?,
    })
}

fn read_row(reader: change::Reader<'_>) -> Result<ChangedRow, WireError> {
    let key = parse_row_key(read_text(reader.get_key())?)?;
    let version = Revision(reader.get_version());
    let json = read_text(reader.get_value())?;
    if json.is_empty() {
        return Ok((key, version, None));
    }
    let parsed: Result<RowWire, _> = serde_json::from_str(json);
    let wire = parsed.map_err(|error| invalid_value("value", json, &error.to_string()))?;
    Ok((key, version, Some(Row::try_from(wire)?)))
}
