//! The example tables of both deployments contain only valid rows.

use {
    citron_core::table::Row,
    citron_wire::row::RowWire,
    std::{collections::BTreeMap, fs, path::Path},
};

fn load(name: &str) -> Vec<Row> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples/tables")
        .join(name);
    let text = fs::read_to_string(path).unwrap();
    let wires: Vec<RowWire> = serde_json::from_str(&text).unwrap();
    wires
        .into_iter()
        .map(|wire| Row::try_from(wire).unwrap())
        .collect()
}

/// Counts services, failure domains, and servers by service and number of slots.
fn summary(rows: &[Row]) -> String {
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for row in rows {
        let kind = match row {
            Row::Domain(_) => "failure domains".to_string(),
            Row::Service(row) => format!("service {}", row.name),
            Row::Server(row) => format!("{} with {} slots", row.service, row.slots),
            other => panic!("{} is written by the router, not by operators", other.key()),
        };
        *counts.entry(kind).or_default() += 1;
    }
    let lines = counts.iter().map(|(kind, count)| format!("{count} {kind}"));
    lines.collect::<Vec<_>>().join("\n")
}

#[test]
fn both_deployments_have_their_sizes_of_today() {
    insta::assert_snapshot!("authority", summary(&load("authority.json")));
    insta::assert_snapshot!("kubbahus", summary(&load("kubbahus.json")));
}
