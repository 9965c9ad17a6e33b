//! Text form of the changes of an edit.

use {
    crate::sheet::{cell_text, row_fields},
    citron_wire::{admin::RowEditWire, row::RowWire},
    serde_json::Value,
    std::collections::BTreeSet,
};

/// Formats the changes of one row: one line if the row is added or deleted, otherwise one
/// line for each changed field.
pub fn diff(edit: &RowEditWire, before: Option<&RowWire>) -> String {
    match (before, &edit.row) {
        (None, Some(row)) => format!("+ {} {}\n", edit.key, row_text(row)),
        (Some(row), None) => format!("- {} {}\n", edit.key, row_text(row)),
        (Some(before), Some(after)) => changes(&edit.key, before, after),
        (None, None) => String::new(),
    }
}

/// Formats the fields in which two versions of a row differ, as `field: old -> new`.
pub fn changes(key: &str, before: &RowWire, after: &RowWire) -> String {
    let (before, after) = (row_fields(before), row_fields(after));
    let names: BTreeSet<_> = before.keys().chain(after.keys()).collect();
    let mut text = String::new();
    for name in names {
        let (old, new) = (before.get(name), after.get(name));
        if old == new {
            continue;
        }
        for (path, old, new) in field_changes(name, old, new) {
            text.push_str(&format!(
                "~ {key} {path}: {} -> {}\n",
                display_value(old),
                display_value(new)
            ));
        }
    }
    text
}

/// Path of a field, and its values before and after.
type FieldChange<'a> = (String, Option<&'a Value>, Option<&'a Value>);

/// Splits a change of a list of objects into changes of its items. Lists of shard owners
/// are long, and a move changes only one item.
fn field_changes<'a>(
    name: &str,
    old: Option<&'a Value>,
    new: Option<&'a Value>,
) -> Vec<FieldChange<'a>> {
    let (Some(Value::Array(old_items)), Some(Value::Array(new_items))) = (old, new) else {
        return vec![(name.to_string(), old, new)];
    };
    if old_items.len() != new_items.len() || !old_items.iter().all(Value::is_object) {
        return vec![(name.to_string(), old, new)];
    }
    let pairs = old_items.iter().zip(new_items).enumerate();
    let changed = pairs.filter(|(_, (old, new))| old != new);
    let field_changes =
        changed.map(|(index, (old, new))| (format!("{name}[{index}]"), Some(old), Some(new)));
    field_changes.collect()
}

fn display_value(value: Option<&Value>) -> String {
    match cell_text(value) {
        empty if empty.is_empty() => "-".to_string(),
        text => text,
    }
}

fn row_text(row: &RowWire) -> String {
    let row_fields = row_fields(row);
    let shown_fields = row_fields
        .iter()
        .filter(|(name, _)| !["kind", "name"].contains(&name.as_str()));
    let cells = shown_fields.map(|(name, value)| format!("{name}={}", cell_text(Some(value))));
    cells.collect::<Vec<_>>().join(" ")
}
