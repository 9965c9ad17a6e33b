//! Concurrent edits of the same rows through different instances, and when edits are in force.

mod support;

use {
    citron_fakes::platform::PlatformServer,
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    support::{
        CallResult, Instance, Operator, Relay, commit_rows, domain_row, server_row, starting_rows,
    },
    tokio::time::sleep,
};

/// Time within which an accepted edit must be in force on every reachable instance.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(7);
/// Concurrent operators.
const OPERATOR_COUNT: u32 = 10;
/// Edits that each operator attempts.
const EDITS_PER_OPERATOR: u32 = 15;

/// Result of an edit as reported to the operator.
#[derive(Debug, Clone)]
enum EditOutcome {
    Accepted { revision: u64 },
    Lost,
    NotApplied,
    Unknown,
}

/// One edit, identified by a weight that no other edit sets.
#[derive(Debug, Clone)]
struct EditAttempt {
    /// Name of the operator.
    by: String,
    /// Row that the operator read before the edit.
    row_before: Value,
    weight: u64,
    outcome: EditOutcome,
}

async fn platform() -> PlatformServer {
    let any = "127.0.0.1:0".parse().unwrap();
    PlatformServer::start(any).await.unwrap()
}

fn edit_outcome(called: &CallResult) -> EditOutcome {
    match called {
        Ok((200, body)) => EditOutcome::Accepted {
            revision: body["revision"].as_u64().expect("a revision"),
        },
        Ok((412, body)) => {
            let current = body["current"]["version"].as_u64();
            assert!(
                current.is_some(),
                "no current version for the operator who lost: {body}"
            );
            EditOutcome::Lost
        }
        Ok((503, _)) => EditOutcome::NotApplied,
        // An instance that was killed may or may not have committed.
        Ok((504, _)) | Err(_) => EditOutcome::Unknown,
        Ok((status, body)) => panic!("{status} {body}"),
    }
}

/// Reads and edits the three servers in turn, through all instances.
async fn run_operator(number: u32, admins: Vec<SocketAddr>) -> Vec<EditAttempt> {
    let mut attempts = Vec::new();
    for edit in 0..EDITS_PER_OPERATOR {
        let admin = admins[((number + edit) % 3) as usize];
        let ann = Operator::new(&format!("operator-{number}"), admin);
        let server = 1 + (edit % 3) as u16;
        let key = format!("server/server-{server}");
        let Ok((200, row_before)) = ann.get(&format!("/v1/rows/{key}")).await else {
            continue;
        };
        let weight = 1_000 + number * EDITS_PER_OPERATOR + edit;
        let version = row_before["version"].as_u64().unwrap();
        let called = ann.put(&key, version, &server_row(server, weight)).await;
        attempts.push(EditAttempt {
            by: ann.name.clone(),
            row_before: row_before["row"].clone(),
            weight: u64::from(weight),
            outcome: edit_outcome(&called),
        });
    }
    attempts
}

/// All history entries, read in pages.
async fn history(ann: &Operator) -> Vec<Value> {
    let mut entries = Vec::new();
    let mut after = 0;
    loop {
        let (_, page) = ann
            .get(&format!("/v1/history?after={after}&limit=40"))
            .await
            .unwrap();
        let page = page["entries"].as_array().unwrap().clone();
        let Some(last) = page.last() else {
            return entries;
        };
        after = last["revision"].as_u64().unwrap();
        entries.extend(page);
    }
}

/// Ten operators change the weights of the same three servers through three instances, while
/// responses to commits are lost between platform and instances and one instance is killed.
/// Edits reported as accepted must be in the history, those reported as lost or not applied must
/// not, and no edit may overwrite another one that its operator had not read.
#[tokio::test(flavor = "multi_thread")]
async fn ten_concurrent_operators_lose_no_accepted_edit_and_get_true_outcomes() {
    let platform = platform().await;
    let names = ["entry-1", "entry-2", "entry-3"];
    let mut instances = names.map(|name| Instance::start(name, "harbour", platform.address));
    let admins: Vec<_> = instances.iter().map(|instance| instance.admin).collect();
    let ann = Operator::new("ann", admins[1]);
    let (status, body) = ann.edit(&starting_rows()).await.unwrap();
    assert_eq!(status, 200, "{body}");

    let operators: Vec<_> = (0..OPERATOR_COUNT)
        .map(|number| tokio::spawn(run_operator(number, admins.clone())))
        .collect();
    let mut losses = 0;
    for round in 0..40 {
        losses += 1 - platform.faults.current().lost_replies;
        platform.faults.update(|settings| settings.lost_replies = 1);
        if round == 5 {
            instances[0].kill();
        }
        sleep(Duration::from_millis(10)).await;
    }
    platform.faults.update(|settings| settings.lost_replies = 0);
    let mut attempts = Vec::new();
    for operator in operators {
        attempts.extend(operator.await.unwrap());
    }

    let entries = history(&ann).await;
    check_history(&ann, &entries).await;
    check_outcomes(&attempts, &entries);
    let count = |name: &str| {
        attempts
            .iter()
            .filter(|attempt| format!("{:?}", attempt.outcome).starts_with(name))
            .count()
    };
    println!(
        "reported: {} accepted, {} lost, {} unknown, {} not applied; {losses} responses lost",
        count("Accepted"),
        count("Lost"),
        count("Unknown"),
        count("NotApplied"),
    );
    assert!(
        count("Accepted") >= 10 && count("Lost") >= 10,
        "too few accepted or lost edits for a race"
    );
    assert!(losses >= 3, "too few lost responses");
}

/// Checks that the history is in order and without gaps: each change starts from the row that the
/// previous change left, and the last one left the row in the table.
async fn check_history(ann: &Operator, entries: &[Value]) {
    let mut rows: BTreeMap<String, Value> = BTreeMap::new();
    let mut last = 0;
    for entry in entries {
        let revision = entry["revision"].as_u64().unwrap();
        assert!(revision > last, "the history is out of order");
        last = revision;
        for change in entry["changes"].as_array().unwrap() {
            let key = change["key"].as_str().unwrap().to_string();
            let before = rows.get(&key).cloned().unwrap_or(Value::Null);
            assert_eq!(change["before"], before, "the history has a gap");
            rows.insert(key, change["after"].clone());
        }
    }
    for (key, row) in rows {
        let (_, now) = ann.get(&format!("/v1/rows/{key}")).await.unwrap();
        assert_eq!(
            now["row"], row,
            "the table differs from the last accepted edit"
        );
    }
}

/// Checks each reported outcome against the history.
fn check_outcomes(attempts: &[EditAttempt], entries: &[Value]) {
    for attempt in attempts {
        let found: Vec<_> = entries
            .iter()
            .filter(|entry| entry["changes"][0]["after"]["weight"] == json!(attempt.weight))
            .collect();
        let revision = found
            .first()
            .map(|entry| entry["revision"].as_u64().unwrap());
        assert!(found.len() <= 1, "{attempt:?} took effect twice");
        match &attempt.outcome {
            EditOutcome::Accepted { revision: reported } => {
                assert_eq!(revision, Some(*reported), "{attempt:?}")
            }
            EditOutcome::Lost | EditOutcome::NotApplied => {
                assert_eq!(revision, None, "{attempt:?}")
            }
            EditOutcome::Unknown => {}
        }
        for entry in found {
            assert_eq!(entry["by"], json!(attempt.by));
            let before = &entry["changes"][0]["before"];
            assert_eq!(
                *before, attempt.row_before,
                "an edit overwrote another one that its operator had not read"
            );
        }
    }
}

/// An edit takes effect, but all responses of the platform are lost, also those to retries. The
/// outcome must be reported as unknown, since the instance cannot know whether the edit was
/// applied; the edit is in the history.
#[tokio::test(flavor = "multi_thread")]
async fn an_edit_with_unknown_result_is_reported_as_unknown() {
    let platform = platform().await;
    let instance = Instance::start("entry-1", "harbour", platform.address);
    let ann = Operator::new("ann", instance.admin);
    let (_, made) = ann.edit(&starting_rows()).await.unwrap();
    let version = made["revision"].as_u64().expect("accepted");
    platform
        .faults
        .update(|settings| settings.lost_replies = 100);
    let called = ann
        .put("server/server-1", version, &server_row(1, 77))
        .await;
    platform.faults.update(|settings| settings.lost_replies = 0);
    let (status, body) = called.unwrap();
    assert_eq!((status, body["code"].as_str()), (504, Some("unknown")));
    assert_eq!(history(&ann).await.len(), 2);
}

/// One instance is cut off from the platform while edits are accepted through another one. The
/// cut-off instance must refuse edits, but must get every accepted edit in force by relay from
/// the other instance. Its revision must never decrease, also when it reaches the platform
/// again.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_off_instance_catches_up_and_never_goes_back() {
    let platform = platform().await;
    let gate = Relay::start(platform.address).await;
    let near = Instance::start("entry-1", "harbour", platform.address);
    let far = Instance::start("entry-2", "harbour", gate.address);
    let ann = Operator::new("ann", near.admin);
    let bob = Operator::new("bob", far.admin);
    let (_, made) = ann.edit(&starting_rows()).await.unwrap();
    let first = made["revision"].as_u64().expect("accepted");
    wait_for_revision(&bob, first).await;

    gate.set_open(false);
    for weight in 1..=5 {
        let version = first + u64::from(weight) - 1;
        let (status, _) = ann
            .put("server/server-1", version, &server_row(1, weight))
            .await
            .unwrap();
        assert_eq!(status, 200);
    }
    let (status, body) = bob
        .put("server/server-1", 1, &server_row(1, 99))
        .await
        .unwrap();
    assert_eq!((status, body["code"].as_str()), (503, Some("unavailable")));
    let took = wait_for_revision(&bob, first + 5).await;
    println!("caught up by relay in {took:?}");
    let (_, cut_off) = bob.get("/v1/status").await.unwrap();
    assert_eq!(
        (&cut_off["revision"], &cut_off["fresh"]),
        (&json!(first + 5), &json!(false))
    );

    gate.set_open(true);
    let (status, body) = ann
        .put("server/server-1", first + 5, &server_row(1, 6))
        .await
        .unwrap();
    assert_eq!(status, 200, "{body}");
    wait_for_revision(&bob, first + 6).await;
    let (_, now) = bob.get("/v1/rows/server/server-1").await.unwrap();
    assert_eq!(
        (&now["version"], &now["row"]["weight"]),
        (&json!(first + 6), &json!(6))
    );
}

/// An instance that reaches neither the platform nor another instance must keep its revision,
/// report that it is not fresh, and catch up by itself once it reaches the platform.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_cut_off_from_all_keeps_its_revision_and_catches_up() {
    let platform = platform().await;
    let gate = Relay::start(platform.address).await;
    let instance = Instance::start("entry-1", "harbour", gate.address);
    let ann = Operator::new("ann", instance.admin);
    let (_, made) = ann.edit(&starting_rows()).await.unwrap();
    let first = made["revision"].as_u64().expect("accepted");
    wait_for_revision(&ann, first).await;

    gate.set_open(false);
    for number in 0..5 {
        let row = domain_row(&format!("hills-{number}"));
        commit_rows(&platform.memory, &format!("other-{number}"), vec![row]).await;
    }
    for _ in 0..5 {
        let (_, status) = ann.get("/v1/status").await.unwrap();
        assert_eq!(
            (&status["revision"], &status["fresh"]),
            (&json!(first), &json!(false))
        );
        sleep(Duration::from_millis(100)).await;
    }
    gate.set_open(true);
    let took = wait_for_revision(&ann, first + 5).await;
    println!("caught up from the platform in {took:?}");
}

/// Polls until a revision is in force, and checks that the revision never decreases; returns the
/// time that this took.
async fn wait_for_revision(operator: &Operator, wanted: u64) -> Duration {
    let started = Instant::now();
    let mut last = 0;
    loop {
        let revision = operator.revision().await;
        assert!(
            revision >= last,
            "the revision decreased from {last} to {revision}"
        );
        last = revision;
        if revision >= wanted {
            return started.elapsed();
        }
        assert!(
            started.elapsed() < PROPAGATION_LIMIT,
            "revision {revision} in force instead of {wanted}"
        );
        sleep(Duration::from_millis(20)).await;
    }
}

/// An accepted edit must be in force on every instance within `PROPAGATION_LIMIT`.
#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_edit_is_in_force_everywhere_in_time() {
    let platform = platform().await;
    let names = ["entry-1", "entry-2", "entry-3"];
    let instances = names.map(|name| Instance::start(name, "harbour", platform.address));
    let operators = instances
        .each_ref()
        .map(|instance| Operator::new("ann", instance.admin));
    let (_, made) = operators[0].edit(&starting_rows()).await.unwrap();
    let first = made["revision"].as_u64().expect("accepted");
    let mut took = Vec::new();
    for edit in 0..12 {
        let ann = &operators[edit % 3];
        let version = first + edit as u64;
        let called = ann
            .put(
                "server/server-1",
                version,
                &server_row(1, 500 + edit as u32),
            )
            .await;
        let (_, body) = called.unwrap();
        let revision = body["revision"].as_u64().expect("accepted");
        let started = Instant::now();
        for operator in &operators {
            wait_for_revision(operator, revision).await;
        }
        took.push(started.elapsed());
    }
    took.sort();
    println!(
        "in force on 3 of 3: median {:?}, longest {:?} of {}",
        took[6],
        took[11],
        took.len()
    );
    assert!(took[11] < PROPAGATION_LIMIT);
}
