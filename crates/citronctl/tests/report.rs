//! The report as text, JSON and HTML, from pages of counts in the object store.

mod support;

use {
    citron_ports::{MemoryPlatform, ObjectStore},
    citron_wire::slo::{PageWire, RecordWire, TallyWire, page_name},
    std::{collections::BTreeMap, time::SystemTime},
    support::Shell,
    tokio::runtime::Builder,
};

const TABLE: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../../examples/tables/kubbahus.json"
);

/// Stores pages of counts of two instances for more than six hours. All minutes have the
/// same counts, so that the figures do not depend on the time of the test.
fn recorded_pages() -> MemoryPlatform {
    let memory = MemoryPlatform::default();
    let now = SystemTime::UNIX_EPOCH.elapsed().unwrap().as_secs() / 60;
    let runtime = Builder::new_current_thread().build().unwrap();
    for instance in ["entry-1", "entry-2"] {
        for hour in now / 60 - 6..=now / 60 + 1 {
            let minutes = hour * 60..hour * 60 + 60;
            let entries = minutes.flat_map(|minute| [failing_minute(minute), slow_minute(minute)]);
            let page = PageWire {
                instance: instance.to_string(),
                hour,
                record: RecordWire {
                    entries: entries.collect(),
                },
            };
            let bytes = serde_json::to_vec(&page).unwrap();
            let name = page_name(instance, hour);
            runtime.block_on(memory.put(&name, bytes)).unwrap();
        }
    }
    memory
}

fn slow_minute(minute: u64) -> TallyWire {
    let busy = [("catalogue-01", 300), ("catalogue-02", 100)];
    TallyWire {
        minute,
        service: "catalogue".to_string(),
        total: 1_000,
        failed: 0,
        slow: 125,
        closed_ms: 0,
        watched_ms: 60_000,
        moved: 0,
        busy_ms: busy.map(|(name, time)| (name.to_string(), time)).into(),
    }
}

fn failing_minute(minute: u64) -> TallyWire {
    TallyWire {
        service: "checkout".to_string(),
        failed: 20,
        slow: 0,
        closed_ms: 600,
        moved: 1,
        busy_ms: BTreeMap::new(),
        ..slow_minute(minute)
    }
}

#[test]
fn the_report_comes_as_text_json_and_page() {
    let shell = Shell::start_with(recorded_pages());
    let imported = shell.run(&format!("table import {TABLE} --yes"));
    assert_eq!(imported.code, 0, "{imported:?}");
    let text = shell.run("report");
    assert_eq!(text.code, 0, "{text:?}");
    let figures = text.stdout.split("\nas of").next().unwrap();
    insta::assert_snapshot!(figures);

    let json = shell.run("report --format json");
    let json: serde_json::Value = serde_json::from_str(&json.stdout).expect("JSON");
    insta::assert_json_snapshot!(json, { ".at" => "[time]" });

    let page = shell.run("report --format html").stdout;
    assert_eq!(page.matches("<svg").count(), 3 * 5);
    assert_eq!(page.matches("<svg").count(), page.matches("</svg>").count());
    assert_eq!(page.matches("fast burn").count(), 1);
    for outside in ["http:", "https:", "<script", "<link", "<img"] {
        assert!(!page.contains(outside), "the page needs {outside}");
    }
    assert_eq!(shell.run("report --format pdf").code, 2);
}

/// Without any stored counts the report must say so instead of showing healthy services.
#[test]
fn a_report_without_records_says_that_nobody_counted() {
    let shell = Shell::start();
    let text = shell.run("report");
    assert!(text.stdout.contains("counted by no instance"), "{text:?}");
}
