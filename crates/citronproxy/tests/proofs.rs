//! The tests that docs/PROOFS.md names exist.

use std::{fs, path::Path};

const POINTS: usize = 8;

fn root() -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// The source of a test file, or of all files of a test folder.
fn source(package: &str, name: &str) -> String {
    let tests = root().join("crates").join(package).join("tests");
    let file = tests.join(format!("{name}.rs"));
    if file.exists() {
        return fs::read_to_string(file).unwrap();
    }
    let files = fs::read_dir(tests.join(name)).expect("a test file or folder");
    let sources = files
        .map(|entry| entry.unwrap().path())
        .filter(|path| path.extension().is_some_and(|ending| ending == "rs"))
        .map(|path| fs::read_to_string(path).unwrap());
    sources.collect()
}

#[test]
fn every_test_that_the_page_names_exists() {
    let page = fs::read_to_string(root().join("docs/PROOFS.md")).unwrap();
    let rows: Vec<&str> = page.lines().filter(|line| is_point(line)).collect();
    assert_eq!(rows.len(), POINTS);
    for row in rows {
        // Every other part of a line stands between backticks.
        let quoted = row.split('`').skip(1).step_by(2);
        let tests: Vec<&str> = quoted.filter(|text| text.contains(": ")).collect();
        assert!(!tests.is_empty(), "a point without a test: {row}");
        for test in tests {
            let (place, function) = test.split_once(": ").unwrap();
            let (package, name) = place.split_once('/').unwrap();
            let declared = format!("fn {function}(");
            assert!(source(package, name).contains(&declared), "no test {test}");
        }
    }
}

fn is_point(line: &str) -> bool {
    let number = line
        .strip_prefix("| ")
        .and_then(|rest| rest.split('.').next());
    number.is_some_and(|text| text.parse::<u32>().is_ok())
}
