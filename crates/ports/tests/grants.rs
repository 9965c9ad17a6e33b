//! Grants to backend servers with delayed and lost orders, and health probes.

use {
    citron_core::{
        id::{Epoch, ServerName, ShardId, Slots, Weight},
        ownership::{BootId, Grant, GrantKind, GrantReply, GrantResult, Scope, ServerLease},
        table::{Fencing, ServerRow, ServerState},
    },
    citron_fakes::{
        backend::{BackendConfig, BackendServer},
        link::Link,
    },
    citron_ports::{GrantClient, PlatformError, ProbeResult, Prober, ServerClient},
    std::{net::SocketAddr, time::Duration},
};

async fn server() -> BackendServer {
    let config = BackendConfig {
        name: "server-1".to_string(),
        slots: 4,
        work: Duration::ZERO,
        checks_grants: true,
    };
    BackendServer::start("127.0.0.1:0".parse().unwrap(), config)
        .await
        .unwrap()
}

fn row(address: SocketAddr) -> ServerRow {
    let name: ServerName = "server-1".parse().unwrap();
    ServerRow {
        name,
        service: "kegs".parse().unwrap(),
        domain: "harbour".parse().unwrap(),
        address,
        weight: Weight(100),
        rate_cap: None,
        slots: Slots(4),
        max_connections: 100,
        fencing: Fencing::Checked,
        state: ServerState::Active,
    }
}

fn grant(kind: GrantKind, epoch: u64) -> Grant {
    Grant {
        service: "kegs".parse().unwrap(),
        scope: Scope::Shard(ShardId(3)),
        epoch: Epoch(epoch),
        kind,
    }
}

const OWN: GrantKind = GrantKind::Own;
const REVOKE: GrantKind = GrantKind::Revoke;

fn format_reply(reply: &GrantReply) -> String {
    let results = reply.results.iter().map(|result| match result {
        GrantResult::Accepted => "accepted".to_string(),
        GrantResult::Stale { seen } => format!("stale, seen {seen}"),
    });
    results.collect::<Vec<_>>().join("; ")
}

/// A sequence of orders for one shard.
struct Case {
    name: &'static str,
    orders: &'static [(GrantKind, u64)],
}

const CASES: &[Case] = &[
    Case {
        name: "own",
        orders: &[(OWN, 1)],
    },
    Case {
        name: "own twice, as after a lost reply",
        orders: &[(OWN, 1), (OWN, 1)],
    },
    Case {
        name: "lower epoch arrives late",
        orders: &[(OWN, 5), (OWN, 4)],
    },
    Case {
        name: "revoke",
        orders: &[(OWN, 1), (REVOKE, 2)],
    },
    Case {
        name: "own of the revoked epoch arrives late",
        orders: &[(OWN, 1), (REVOKE, 1), (OWN, 1)],
    },
    Case {
        name: "own below the revocation arrives late",
        orders: &[(OWN, 1), (REVOKE, 2), (OWN, 1)],
    },
    Case {
        name: "revoked, then owner again under a later epoch",
        orders: &[(OWN, 1), (REVOKE, 2), (OWN, 3)],
    },
    Case {
        name: "revoked by the release that moves the shard to this server, then owner",
        orders: &[(REVOKE, 1), (OWN, 2)],
    },
    Case {
        name: "late revocation after owner again",
        orders: &[(OWN, 1), (OWN, 3), (REVOKE, 2)],
    },
];

#[tokio::test]
async fn the_highest_epoch_decides_in_whatever_order_orders_arrive() {
    let mut lines = Vec::new();
    for case in CASES {
        let server = server().await;
        let client = ServerClient::default();
        let mut results = Vec::new();
        for (kind, epoch) in case.orders {
            let grants = [grant(*kind, *epoch)];
            let reply = client
                .send_order(&row(server.address), None, &grants, None)
                .await;
            results.push(format_reply(&reply.unwrap()));
        }
        lines.push(format!("{}: {}", case.name, results.join(" | ")));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against a delayed order that arrives after the server has restarted. Its grants
/// could restore ownership that the previous process had already released, and the end of
/// its lease is a reading of another clock. The server rejects the whole order.
#[tokio::test]
async fn an_order_to_an_older_start_is_refused_whole() {
    let server = server().await;
    let client = ServerClient::default();
    let row = row(server.address);
    let asked = client.send_order(&row, None, &[], None).await.unwrap();
    let older = BootId(asked.boot.0 - 1);
    let lease = ServerLease {
        boot: older,
        until: asked.clock + Duration::from_secs(60),
    };
    let grants = [grant(OWN, 9)];
    let late = client.send_order(&row, Some(older), &grants, Some(lease));
    let late = late.await.unwrap();
    assert_eq!(format_reply(&late), "stale, seen 0");
    assert_eq!(late.boot, asked.boot);
    let grants = [grant(OWN, 1)];
    let own = client
        .send_order(&row, Some(asked.boot), &grants, None)
        .await;
    assert_eq!(format_reply(&own.unwrap()), "accepted");
}

/// Guards against an order that counts as applied although its reply was lost or the
/// connection stopped responding, and against a client that then fails for good: the next
/// order succeeds.
#[tokio::test]
async fn a_lost_answer_is_an_error_and_the_next_order_goes_through() {
    type Fault = fn(&Link);
    let cases: [(&str, Fault, Fault); 3] = [
        ("truncated", |link| link.truncate_replies(1, 20), |_| {}),
        ("cut", Link::cut, Link::heal),
        ("silent connection", Link::stall_connections, |_| {}),
    ];
    for (name, fault, repair) in cases {
        let server = server().await;
        let link = Link::start(server.address).await.unwrap();
        let client = ServerClient::default();
        let row = row(link.address);
        // The faulty call reuses this connection; the truncated reply is the first of its link.
        if name != "truncated" {
            client.send_order(&row, None, &[], None).await.unwrap();
        }
        fault(&link);
        let lost = client.send_order(&row, None, &[grant(OWN, 1)], None).await;
        assert!(
            matches!(lost, Err(PlatformError::OutcomeUnknown(_))),
            "{name}: {lost:?}"
        );
        repair(&link);
        let again = client.send_order(&row, None, &[grant(OWN, 1)], None).await;
        assert_eq!(format_reply(&again.unwrap()), "accepted", "{name}");
    }
}

/// Guards against a frozen server that counts as up: its kernel still accepts connections,
/// but the process does not respond.
#[tokio::test]
async fn probes_distinguish_up_draining_and_frozen_servers() {
    let server = server().await;
    let client = ServerClient::default();
    assert_eq!(client.probe(server.address).await.unwrap(), ProbeResult::Up);
    server.freeze();
    assert!(client.probe(server.address).await.is_err(), "frozen");
    server.thaw();
    assert_eq!(client.probe(server.address).await.unwrap(), ProbeResult::Up);
    server.drain();
    assert_eq!(
        client.probe(server.address).await.unwrap(),
        ProbeResult::Draining
    );
    server.crash();
    assert!(client.probe(server.address).await.is_err(), "crashed");
    assert!(
        server.executions.all().is_empty(),
        "a probe must not run a request"
    );
}
