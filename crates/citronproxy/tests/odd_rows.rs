//! Rows of the table that another writer has written.

mod support;

use {
    citron_core::table::Fencing,
    citron_fakes::platform::PlatformServer,
    citron_ports::TableService,
    citron_wire::table::{CommitWire, WriteWire},
    serde_json::{Value, json},
    std::time::Duration,
    support::{Deployment, Instance, Operator, get, server_row, wait_until_serving},
    tokio::time::sleep,
};

/// Distinct keys of the callers.
const KEYS: u32 = 24;
/// Time after which a routing lease that no read has renewed has ended.
const LEASE_OVER: Duration = Duration::from_secs(8);

/// Writes a row, whatever it holds, over the one that is there.
async fn put_row(platform: &PlatformServer, key: &str, value: &Value) {
    let known = platform.memory.row(key).await.expect("in memory");
    let write = WriteWire {
        key: key.to_string(),
        expect: known.map_or(0, |row| row.version),
        value: Some(value.clone()),
    };
    let commit = CommitWire {
        writes: vec![write],
        checks: Vec::new(),
    };
    let response = platform.memory.commit(&commit).await.expect("in memory");
    assert!(response.revision.is_some(), "{response:?}");
}

/// Number of these keys that an instance serves.
async fn count_served(instance: &Instance, keys: impl IntoIterator<Item = u32>) -> usize {
    let mut served = 0;
    for key in keys {
        let reply = get(instance.traffic, &format!("/kegs/bar-{key}")).await;
        served += usize::from(reply.is_ok_and(|reply| reply.status.is_success()));
    }
    served
}

/// Guards against instances that read nothing of the table over a row of another writer: those
/// that run lose their lease, and those that start serve nothing.
#[tokio::test(flavor = "multi_thread")]
async fn rows_of_other_writers_hide_no_others() {
    let grace = Duration::from_secs(2);
    let deployment = Deployment::start(&["harbour"; 3], Fencing::Checked, grace).await;
    let running = deployment.instance("entry-1", "harbour").await;
    let rows = [
        ("note", json!("a text")),
        ("server/a b&c=%", json!({})),
        ("server/server-9", json!("no server")),
        ("block/kegs/x", json!([1])),
        ("override/kegs/zz", json!(null)),
        ("", json!({"kind": "service"})),
    ];
    for (key, value) in &rows {
        put_row(&deployment.platform, key, value).await;
    }
    sleep(LEASE_OVER).await;
    assert_eq!(count_served(&running, 0..KEYS).await, KEYS as usize);
    let started = Instance::start("entry-2", "harbour", deployment.platform.address);
    wait_until_serving(started.traffic).await;
}

/// Guards against a history that cannot be read over a row of another writer.
#[tokio::test(flavor = "multi_thread")]
async fn rows_of_other_writers_hide_no_history() {
    let grace = Duration::from_secs(2);
    let deployment = Deployment::start(&["harbour"], Fencing::Checked, grace).await;
    let instance = deployment.instance("entry-1", "harbour").await;
    let ann = Operator::new("ann", instance.admin);
    put_row(&deployment.platform, "log/odd", &json!([1])).await;
    let row = server_row(2, 50);
    let (status, body) = ann.put("server/server-2", 0, &row).await.unwrap();
    assert_eq!(status, 200, "{body}");
    let (status, page) = ann.get("/v1/history").await.unwrap();
    assert_eq!(status, 200, "{page}");
    assert_eq!(page["entries"][0]["changes"][0]["key"], "server/server-2");
}

/// Guards against a row of a server, or of an instance, that takes the others along: another writer
/// has spoiled it.
#[tokio::test(flavor = "multi_thread")]
async fn a_spoiled_row_hides_no_others() {
    let grace = Duration::from_secs(2);
    let deployment = Deployment::start(&["harbour"; 3], Fencing::Checked, grace).await;
    let other = deployment.instance("entry-1", "harbour").await;
    let running = deployment.instance("entry-2", "harbour").await;
    let mut keys = deployment.keys_of("server-1", KEYS).await;
    keys.extend(deployment.keys_of("server-2", KEYS).await);
    for key in ["server/server-3", "instance/entry-1"] {
        put_row(&deployment.platform, key, &json!("[")).await;
    }
    sleep(LEASE_OVER).await;
    drop(other);
    assert_eq!(count_served(&running, keys.clone()).await, keys.len());
    let started = Instance::start("entry-3", "harbour", deployment.platform.address);
    sleep(LEASE_OVER).await;
    assert_eq!(count_served(&started, keys.clone()).await, keys.len());
}
