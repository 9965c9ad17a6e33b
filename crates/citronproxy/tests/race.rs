//! Operators who edit the same rows at once, through different instances.

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

/// An accepted edit is to be in force on every reachable instance by then.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(7);
/// Operators at once.
const OPERATOR_COUNT: u32 = 10;
/// Edits that each of them tries.
const EDITS_PER_OPERATOR: u32 = 15;

/// What an operator was told of one edit, whose weight no other edit has.
#[derive(Debug, Clone)]
enum EditOutcome {
    Accepted { revision: u64 },
    Lost,
    NotApplied,
    Unknown,
}

#[derive(Debug, Clone)]
struct EditAttempt {
    by: String,
    /// The row as the operator saw it.
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
            assert!(current.is_some(), "the loser sees the row as it is: {body}");
            EditOutcome::Lost
        }
        Ok((503, _)) => EditOutcome::NotApplied,
        // An instance that died leaves it open whether it had committed.
        Ok((504, _)) | Err(_) => EditOutcome::Unknown,
        Ok((status, body)) => panic!("{status} {body}"),
    }
}

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

/// Ten operators change the weights of the same three servers through three
/// instances, while answers of commits are lost on their way from the platform
/// and one instance is killed in the middle. Whoever is told "accepted" must
/// find the edit in the history for good, whoever is told "lost" or "not
/// applied" must not, and no accepted edit may undo another one unseen.
#[tokio::test(flavor = "multi_thread")]
async fn ten_operators_at_once_lose_no_accepted_edit_and_are_told_the_truth() {
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
        "told: {} accepted, {} lost, {} unknown, {} not applied; {losses} answers lost",
        count("Accepted"),
        count("Lost"),
        count("Unknown"),
        count("NotApplied"),
    );
    assert!(
        count("Accepted") >= 10 && count("Lost") >= 10,
        "a race took place"
    );
    assert!(losses >= 3, "answers were lost");
}

/// Each change starts from the row that the change before it left, and the last
/// one left what the table now holds.
async fn check_history(ann: &Operator, entries: &[Value]) {
    let mut rows: BTreeMap<String, Value> = BTreeMap::new();
    let mut last = 0;
    for entry in entries {
        let revision = entry["revision"].as_u64().unwrap();
        assert!(revision > last, "the history is in order");
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
        assert_eq!(now["row"], row, "the table holds the last accepted edit");
    }
}

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
                "an edit undid another one unseen"
            );
        }
    }
}

/// The edit takes effect, but every answer of the platform is lost, also to the
/// resends. The operator is told that the outcome is unknown, as either "done"
/// or "not applied" would be a guess, and finds the edit in the history.
#[tokio::test(flavor = "multi_thread")]
async fn an_edit_that_cannot_be_settled_is_told_unknown() {
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

/// One instance is cut off from the platform while edits are accepted through
/// another one. The cut-off instance takes no edit, yet has every accepted one
/// in force by relay from the other instance, and never goes back, neither then
/// nor once it reaches the platform again.
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

/// An instance that reaches neither the platform nor another instance keeps what
/// it has, says that it is not fresh, and catches up by itself.
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

/// Polls until a revision is in force, checking that it never goes back.
async fn wait_for_revision(operator: &Operator, wanted: u64) -> Duration {
    let started = Instant::now();
    let mut last = 0;
    loop {
        let revision = operator.revision().await;
        assert!(revision >= last, "went back from {last} to {revision}");
        last = revision;
        if revision >= wanted {
            return started.elapsed();
        }
        assert!(
            started.elapsed() < PROPAGATION_LIMIT,
            "still at {revision}, not {wanted}"
        );
        sleep(Duration::from_millis(20)).await;
    }
}

/// An accepted edit is in force on every instance within seconds.
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
