//! A request that crashes every backend server that runs it.

mod support;

use {
    citron_fakes::scripted::{ScriptedServer, Step},
    std::time::Duration,
    support::{DataPath, post},
    tokio::time::sleep,
};

/// A caller retries a request that makes its server reset the connection each time. After three
/// crashes the request must be refused before it reaches a server, with `Retry-After`, while
/// another request for the same key is served. Once an operator lifts the entry, the request is
/// forwarded again.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_servers_is_refused() {
    let crash = vec![Step::ReadRequest, Step::Reset];
    let fine = vec![
        Step::ReadRequest,
        Step::respond("fine"),
        Step::ReadRequest,
        Step::respond("fine"),
    ];
    let scripts = vec![crash.clone(), crash.clone(), crash, fine];
    let server = ScriptedServer::start(scripts).await.unwrap();
    let path = DataPath::start(server.address);
    for _ in 0..3 {
        let reply = post(path.address, "/kegs/a", "", "bad").await.unwrap();
        assert_eq!(reply.status.as_u16(), 502);
        assert_eq!(reply.header("citron-outcome"), "unknown");
        // Resets that occur close together count as one crash.
        sleep(Duration::from_millis(550)).await;
    }
    let reply = post(path.address, "/kegs/a", "", "bad").await.unwrap();
    assert_eq!(reply.status.as_u16(), 422);
    assert_eq!(reply.header("citron-outcome"), "not-run");
    assert_ne!(reply.header("retry-after"), "");
    assert_eq!(server.request_count(), 3);

    let other = post(path.address, "/kegs/a", "", "gut").await.unwrap();
    assert_eq!(other.body, "fine");
    let entries = path.handle.crash_entries().await;
    assert_eq!((entries.len(), entries[0].crashes), (1, 3));
    assert_eq!(entries[0].label, "POST /kegs/a");
    let lift = citronproxy::traffic::CrashEvent::Lift(entries[0].fingerprint);
    path.handle.send_crash_event(&lift);
    // The traffic thread handles the lift before this query, but perhaps after a request.
    assert!(path.handle.crash_entries().await.is_empty());
    let reply = post(path.address, "/kegs/a", "", "bad").await.unwrap();
    assert_eq!(reply.body, "fine");
}
