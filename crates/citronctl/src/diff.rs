//! What an edit changes.

use {
    crate::sheet::{cell, fields},
    citron_wire::{admin::RowEditWire, row::RowWire},
    serde_json::Value,
    std::collections::BTreeSet,
};

/// One line a row that is added or deleted, one a field that changes.
pub fn diff(edit: &RowEditWire, before: Option<&RowWire>) -> String {
    match (before, &edit.row) {
        (None, Some(row)) => format!("+ {} {}\n", edit.key, row_text(row)),
        (Some(row), None) => format!("- {} {}\n", edit.key, row_text(row)),
        (Some(before), Some(after)) => changes(&edit.key, before, after),
        (None, None) => String::new(),
    }
}

/// The fields that two rows differ in, as `field: old -> new`.
pub fn changes(key: &str, before: &RowWire, after: &RowWire) -> String {
    let (before, after) = (fields(before), fields(after));
    let names: BTreeSet<_> = before.keys().chain(after.keys()).collect();
    let mut text = String::new();
    for name in names {
        let (old, new) = (before.get(name), after.get(name));
        if old == new {
            continue;
        }
        for (place, old, new) in parts(name, old, new) {
            text.push_str(&format!(
                "~ {key} {place}: {} -> {}\n",
                shown(old),
                shown(new)
            ));
        }
    }
    text
}

/// A field, before and after.
type Part<'a> = (String, Option<&'a Value>, Option<&'a Value>);

/// A long list of owners is compared item by item: a move changes one of them.
fn parts<'a>(name: &str, old: Option<&'a Value>, new: Option<&'a Value>) -> Vec<Part<'a>> {
    let (Some(Value::Array(olds)), Some(Value::Array(news))) = (old, new) else {
        return vec![(name.to_string(), old, new)];
    };
    if olds.len() != news.len() || !olds.iter().all(Value::is_object) {
        return vec![(name.to_string(), old, new)];
    }
    let pairs = olds.iter().zip(news).enumerate();
    let changed = pairs.filter(|(_, (old, new))| old != new);
    let parts =
        changed.map(|(place, (old, new))| (format!("{name}[{place}]"), Some(old), Some(new)));
    parts.collect()
}

fn shown(value: Option<&Value>) -> String {
    match cell(value) {
        empty if empty.is_empty() => "-".to_string(),
        text => text,
    }
}

fn row_text(row: &RowWire) -> String {
    let fields = fields(row);
    let plain = fields
        .iter()
        .filter(|(name, _)| !["kind", "name"].contains(&name.as_str()));
    let cells = plain.map(|(name, value)| format!("{name}={}", cell(Some(value))));
    cells.collect::<Vec<_>>().join(" ")
}
