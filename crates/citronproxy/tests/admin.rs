//! Contract of the admin API: each call and each refusal, on a real instance.

mod support;

use {
    bytes::Bytes,
    citron_core::{
        crash::{CrashEntry, Fingerprint},
        id::Revision,
        table::Table,
    },
    citron_fakes::platform::PlatformServer,
    citron_ports::{IdempotentStore, MemoryPlatform, PlatformError},
    citronproxy::admin::{AdminApi, AdminListener, ControlView, serve},
    http::{Method, Request},
    http_body_util::Full,
    serde_json::{Value, json},
    std::rc::Rc,
    support::{Instance, Operator, call, server_row, starting_rows},
    tokio::task::{LocalSet, spawn_local},
};

/// Control with an empty table and no crash entries.
struct EmptyControl;

impl ControlView for EmptyControl {
    fn revision_in_force(&self) -> Revision {
        Revision(0)
    }

    fn with_table<T>(&self, look: impl FnOnce(&Table) -> T) -> T {
        look(&Table::default())
    }

    async fn refresh(&self) -> Result<(), PlatformError> {
        Ok(())
    }

    async fn crash_entries(&self) -> Vec<CrashEntry> {
        Vec::new()
    }

    fn lift_refusal(&self, _: Fingerprint) {}

    fn on_edit_accepted(&self) {}
}

/// Starts a platform and an instance. The instance's own row is revision 1, the starting rows
/// are revision 2.
async fn start() -> (PlatformServer, Instance, Operator) {
    let any = "127.0.0.1:0".parse().unwrap();
    let platform = PlatformServer::start(any).await.unwrap();
    let instance = Instance::start("entry-1", "harbour", platform.address);
    let operator = Operator::new("ann", instance.admin);
    let (status, body) = operator.edit(&starting_rows()).await.unwrap();
    assert_eq!(status, 200, "{body}");
    (platform, instance, operator)
}

/// Snapshot line for a call: status, code, message and the version of the current row.
fn format_case(case: &str, (status, body): &(u16, Value)) -> String {
    let text_of = |name: &str| body[name].as_str().unwrap_or("-").to_string();
    let current = &body["current"]["version"];
    format!(
        "{case}: {status} {} | {} | current {current}",
        text_of("code"),
        text_of("message")
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn every_refusal_has_its_status_word_and_reason() {
    let (platform, _instance, ann) = start().await;
    let mut lines = Vec::new();
    let row = server_row(1, 50);
    let mut bad = row.clone();
    bad["cap"] = json!(0);
    let mut unknown = row.clone();
    unknown["colour"] = json!("red");
    let heavy = server_row(1, 20_000);
    let cases = [
        ("accepted", ann.put("server/server-1", 2, &row).await),
        ("lost race", ann.put("server/server-1", 2, &row).await),
        ("added twice", ann.put("server/server-1", 0, &row).await),
        (
            "lost to a deletion",
            ann.put("server/server-9", 7, &server_row(9, 1)).await,
        ),
        (
            "key of another row",
            ann.put("server/server-2", 2, &row).await,
        ),
        ("rule broken", ann.put("server/server-1", 3, &bad).await),
        (
            "unknown field",
            ann.put("server/server-1", 3, &unknown).await,
        ),
        (
            "weight too large",
            ann.put("server/server-1", 3, &heavy).await,
        ),
        (
            "no version",
            ann.send(Method::PUT, "/v1/rows/server/server-1", &[], Some(&row))
                .await,
        ),
        ("owner deleted", ann.delete("server/server-1", 3).await),
        ("row not there", ann.get("/v1/rows/server/server-9").await),
        ("no such call", ann.get("/v1/nothing").await),
        (
            "wrong method",
            ann.send(Method::POST, "/v1/status", &[], None).await,
        ),
        ("bad key", ann.get("/v1/rows/barrel/1").await),
        ("bad number", ann.get("/v1/history?after=x").await),
        (
            "no owner",
            ann.get("/v1/owner?service=nets&key=bar-7").await,
        ),
        (
            "nobody",
            Operator::new("", ann.admin)
                .put("server/server-1", 3, &row)
                .await,
        ),
    ];
    for (case, result) in cases {
        lines.push(format_case(case, &result.unwrap()));
    }
    platform.faults.update(|settings| settings.is_down = true);
    let response = ann.put("server/server-1", 3, &row).await.unwrap();
    assert_eq!(
        (response.0, response.1["code"].as_str()),
        (503, Some("unavailable"))
    );
    let (status, rows) = ann.get("/v1/rows?kind=server").await.unwrap();
    assert_eq!((status, &rows["fresh"]), (200, &json!(false)));
    insta::assert_snapshot!(lines.join("\n"));
}

/// Every call without the right token is refused, also calls to unknown paths.
#[tokio::test(flavor = "multi_thread")]
async fn calls_without_the_token_are_refused() {
    let (_platform, instance, _ann) = start().await;
    let tokens = [
        "",
        "Bearer ",
        "Bearer a-token-for-test",
        "Bearer b-token-for-tests",
        "bearer a-token-for-tests",
        "Basic a-token-for-tests",
    ];
    for token in tokens {
        for path in ["/v1/status", "/v1/rows", "/v1/nothing"] {
            let request = Request::get(path).header("authorization", token);
            let request = request.body(Full::<Bytes>::default()).unwrap();
            let reply = call(instance.admin, request).await.unwrap();
            assert_eq!(reply.status, 401, "{token} {path}");
        }
    }
}

/// If the settings have no token, no token is right, not even an empty one.
#[tokio::test]
async fn an_instance_without_a_token_in_its_settings_refuses_all() {
    let run = async {
        let server = AdminListener::bind("127.0.0.1:0".parse().unwrap())
            .await
            .unwrap();
        let address = server.address;
        let store = IdempotentStore::new(MemoryPlatform::default(), "test".to_string());
        let name = "entry-1".parse().unwrap();
        let domain = "harbour".parse().unwrap();
        let admin = AdminApi {
            instance: name,
            domain,
            store,
            control: EmptyControl,
            token: None,
        };
        spawn_local(serve(server, Rc::new(admin)));
        for token in ["Bearer ", "Bearer a-token-for-tests"] {
            let request = Request::get("/v1/status").header("authorization", token);
            let request = request.body(Full::<Bytes>::default()).unwrap();
            let reply = call(address, request).await.unwrap();
            assert_eq!(reply.status, 403);
        }
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_edit_of_several_rows_takes_effect_whole_or_not_at_all() {
    let (_platform, _instance, ann) = start().await;
    let edit = |version: u64| {
        let row = |number| server_row(number, 7);
        [
            json!({ "key": "server/server-1", "version": 2, "row": row(1) }),
            json!({ "key": "server/server-2", "version": version, "row": row(2) }),
        ]
    };
    let (status, lost) = ann.edit(&edit(9)).await.unwrap();
    assert_eq!(
        (status, lost["key"].as_str()),
        (412, Some("server/server-2"))
    );
    let (_, first) = ann.get("/v1/rows/server/server-1").await.unwrap();
    assert_eq!(first["row"]["weight"], 100);
    let (status, done) = ann.edit(&edit(2)).await.unwrap();
    assert_eq!((status, done["revision"].as_u64()), (200, Some(3)));
    let (_, page) = ann.get("/v1/history?after=2").await.unwrap();
    insta::assert_json_snapshot!(page, { ".entries[].at_ms" => "[time]" });
}

/// The servers of a new service own all shards at once, and the API reports the owner of a key,
/// whether the key in the query is percent-encoded or not.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_service_is_owned_and_status_says_why() {
    let (_platform, _instance, ann) = start().await;
    let (status, owner) = ann.get("/v1/owner?service=kegs&key=bar-7").await.unwrap();
    assert_eq!(status, 200);
    insta::assert_json_snapshot!(owner);
    let (_, escaped) = ann
        .get("/v1/owner?service=kegs&key=%62ar%2D7")
        .await
        .unwrap();
    assert_eq!(owner, escaped);
}

/// A move is accepted once the release is committed, and the history shows its target. A move to
/// an unknown server, or without a shard, is refused.
#[tokio::test(flavor = "multi_thread")]
async fn a_move_begins_with_a_release_and_is_in_the_history() {
    let (_platform, _instance, ann) = start().await;
    let request_move = |body: Value| {
        let ann = ann.clone();
        async move {
            ann.send(Method::POST, "/v1/moves", &[], Some(&body))
                .await
                .unwrap()
        }
    };
    let (status, body) =
        request_move(json!({ "service": "kegs", "shard": 2, "to": "server-9" })).await;
    assert_eq!((status, body["code"].as_str()), (422, Some("invalid")));
    let (status, body) = request_move(json!({ "service": "kegs", "to": "server-1" })).await;
    assert_eq!((status, body["code"].as_str()), (400, Some("malformed")));
    let (status, _) =
        request_move(json!({ "service": "kegs", "shard": 2, "to": "server-1" })).await;
    assert_eq!(status, 200);
    let (_, page) = ann.get("/v1/history?after=2").await.unwrap();
    let change = &page["entries"][0]["changes"][0];
    assert_eq!(change["key"], "block/kegs/0");
    assert_eq!(change["after"]["shards"][2]["to"], "server-1");
}

#[tokio::test(flavor = "multi_thread")]
async fn no_request_is_refused_at_first_and_a_lift_names_a_fingerprint() {
    let (_platform, _instance, ann) = start().await;
    let (status, body) = ann.get("/v1/refused").await.unwrap();
    assert_eq!((status, body), (200, json!({ "requests": [] })));
    for (fingerprint, wanted) in [("00aa11bb22cc33dd", 200), ("nonsense", 400)] {
        let lift = json!({ "fingerprint": fingerprint });
        let result = ann.send(Method::POST, "/v1/lifts", &[], Some(&lift)).await;
        assert_eq!(result.unwrap().0, wanted, "{fingerprint}");
    }
}
