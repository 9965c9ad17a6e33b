//! Settings are validated completely, and errors name the file, the field, the value found and
//! the values allowed.

use {citronproxy::settings::Settings, std::path::Path};

const VALID: &str = r#"{
    // an entry instance
    "instance": "entry-1", "domain": "harbour",
    "traffic": "127.0.0.1:8080", "peer": "127.0.0.1:8081", "admin": "127.0.0.1:8082",
    "platform": "127.0.0.1:9000"
}"#;

/// Error message for invalid settings.
fn error_of(text: &str) -> String {
    let read = Settings::read(Path::new("entry.json"), text.as_bytes());
    read.expect_err("refused").to_string()
}

#[test]
fn comments_and_defaults_are_taken() {
    let settings = Settings::read(Path::new("entry.json"), VALID.as_bytes()).unwrap();
    assert_eq!(settings.threads, 2);
    assert_eq!(settings.token, None);
}

#[test]
fn errors_name_what_is_wrong() {
    let cases = [
        (
            "unknown field",
            VALID.replace("\"platform\"", "\"platfrom\""),
        ),
        (
            "missing field",
            VALID.replace("\"domain\": \"harbour\",", ""),
        ),
        ("bad address", VALID.replace("127.0.0.1:9000", "nowhere")),
        ("bad name", VALID.replace("entry-1", "Entry 1")),
        (
            "no threads",
            VALID.replace("\"platform\"", "\"threads\": 0, \"platform\""),
        ),
        (
            "short token",
            VALID.replace("\"platform\"", "\"token\": \"x\", \"platform\""),
        ),
        ("not JSON", VALID.replace("\"domain\":", "\"domain\"")),
        ("two values", format!("{VALID} {VALID}")),
    ];
    let lines = cases.map(|(case, text)| format!("{case}: {}", error_of(&text)));
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn example_settings_load() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/settings");
    let entries = std::fs::read_dir(folder).unwrap();
    let names = entries.map(|entry| {
        let path = entry.unwrap().path();
        Settings::load(&path)
            .expect("a valid example")
            .instance
            .to_string()
    });
    let mut names: Vec<String> = names.collect();
    names.sort();
    assert_eq!(names, ["kingston-entry-1", "sudvestur-entry-1"]);
}
