//! docs/EVENTS.md lists exactly the log events of the code.

use {
    citronproxy::events::CATALOGUE,
    std::{collections::BTreeSet, fs, path::Path},
};

#[test]
fn docs_list_every_event_and_no_other() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/EVENTS.md");
    let page = fs::read_to_string(page).unwrap();
    let rows = page.lines().filter_map(|line| line.strip_prefix("| C"));
    let documented: Vec<String> = rows
        .map(|row| {
            let mut cells = row.split('|').map(str::trim);
            format!("C{} {}", cells.next().unwrap(), cells.next().unwrap())
        })
        .collect();
    let coded: Vec<String> = CATALOGUE.iter().map(|event| event.to_string()).collect();
    assert_eq!(documented, coded);
}

#[test]
fn numbers_and_names_are_used_once() {
    let numbers: BTreeSet<u16> = CATALOGUE.iter().map(|event| event.number).collect();
    let names: BTreeSet<&str> = CATALOGUE.iter().map(|event| event.name).collect();
    assert_eq!(numbers.len(), CATALOGUE.len());
    assert_eq!(names.len(), CATALOGUE.len());
}
