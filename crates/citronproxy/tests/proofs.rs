//! Checks that the tests named in docs/PROOFS.md exist.

use std::{
    fs,
    path::{Path, PathBuf},
};

/// Numbered rows of the page.
const PROOF_COUNT: usize = 8;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Folder of a package's tests. `platform` lies in the root, all other packages in `crates`.
fn tests_folder(package: &str) -> PathBuf {
    let home = match package {
        "platform" => root(),
        _ => root().join("crates"),
    };
    home.join(package).join("tests")
}

/// Source of a test file, or of all files below a test folder.
fn source(package: &str, name: &str) -> String {
    let file = tests_folder(package).join(format!("{name}.rs"));
    if file.exists() {
        return fs::read_to_string(file).unwrap();
    }
    sources_below(&tests_folder(package).join(name))
}

fn sources_below(folder: &Path) -> String {
    let entries = fs::read_dir(folder).expect("a test file or folder");
    let sources = entries.map(|entry| {
        let path = entry.unwrap().path();
        match (path.is_dir(), path.extension()) {
            (true, _) => sources_below(&path),
            (false, Some(ending)) if ending == "rs" => fs::read_to_string(path).unwrap(),
            _ => String::new(),
        }
    });
    sources.collect()
}

/// References to tests in a text: `package/file: test` between backticks.
fn test_references(text: &str) -> Vec<&str> {
    let quoted = text.split('`').skip(1).step_by(2);
    quoted
        .filter(|text| text.contains('/') && text.contains(": "))
        .collect()
}

#[test]
fn every_test_that_the_page_names_exists() {
    let page = fs::read_to_string(root().join("docs/PROOFS.md")).unwrap();
    let proofs: Vec<&str> = page.lines().filter(|line| is_proof(line)).collect();
    assert_eq!(proofs.len(), PROOF_COUNT);
    for proof in proofs {
        assert!(
            !test_references(proof).is_empty(),
            "no test is named in: {proof}"
        );
    }
    // Lines are joined, since a paragraph may break a line within a name.
    let lines: Vec<&str> = page.lines().collect();
    for test in test_references(&lines.join(" ")) {
        let (place, function) = test.split_once(": ").unwrap();
        let (package, name) = place.split_once('/').unwrap();
        let function = function.rsplit("::").next().unwrap();
        let declared = format!("fn {function}(");
        assert!(source(package, name).contains(&declared), "no test {test}");
    }
}

fn is_proof(line: &str) -> bool {
    let number = line
        .strip_prefix("| ")
        .and_then(|rest| rest.split('.').next());
    number.is_some_and(|text| text.parse::<u32>().is_ok())
}
