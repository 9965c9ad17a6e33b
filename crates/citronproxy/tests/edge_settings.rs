//! Settings of `citronproxy edge`.

use {
    citron_core::id::Slots,
    citronproxy::edge::{EdgeSettings, SlotBrokerSettings},
    std::path::Path,
};

const VALID: &str = r#"{
    "instance": "entry-1", "domain": "harbour",
    "traffic": "127.0.0.1:8080", "ready": "127.0.0.1:8081", "peer": "127.0.0.1:8082",
    "store": "127.0.0.1:9000",
    "leave_s": 20, "drain_s": 5, "lease_max_s": 10, "cpu_share": 0.5,
    "retries": { "ratio": 0.1, "extra": 20 }
}"#;

fn with_brokers(value: &str) -> String {
    VALID.replace(
        "\"leave_s\"",
        &format!("\"slot_brokers\": {value}, \"leave_s\""),
    )
}

fn read(text: &str) -> Result<EdgeSettings, String> {
    let settings = EdgeSettings::read(Path::new("edge.json"), text.as_bytes());
    settings.map_err(|error| error.to_string())
}

/// Guards against deployments that get brokers without having asked for them.
#[test]
fn slot_brokers_are_off_unless_set() {
    assert_eq!(read(VALID).unwrap().slot_brokers, None);
    let set = read(&with_brokers(r#"{ "instances_per_slot": 2.5 }"#)).unwrap();
    let instances_per_slot = 2.5;
    assert_eq!(
        set.slot_brokers,
        Some(SlotBrokerSettings { instances_per_slot })
    );
}

#[test]
fn slot_brokers_apply_from_the_set_number_of_instances_on() {
    let instances_per_slot = 2.5;
    let settings = SlotBrokerSettings { instances_per_slot };
    assert!(settings.applies_to(Slots(4), 10));
    assert!(!settings.applies_to(Slots(4), 9));
}

/// Guards against values by which brokers would be used for every server, or that are
/// misspelt.
#[test]
fn errors_in_slot_brokers_name_what_is_wrong() {
    let values = [
        r#"{ "instances_per_slot": 0 }"#,
        r#"{ "instances_per_slot": -1 }"#,
        r#"{ "instances_per_slot": "many" }"#,
        r#"{ "instances": 4 }"#,
        "{}",
    ];
    let errors = values.map(|value| read(&with_brokers(value)).unwrap_err());
    insta::assert_snapshot!(errors.join("\n"));
}
