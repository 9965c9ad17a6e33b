//! End to end: callers, three instances, the platform and two backend servers.

mod support;

use {
    citron_core::table::Fencing,
    citron_fakes::{
        backend::{BackendConfig, BackendServer},
        platform::PlatformServer,
    },
    std::{collections::BTreeSet, net::SocketAddr, time::Duration},
    support::{Instance, SampleConfig, commit_rows, domain_row, get, sample_rows},
    tokio::time::sleep,
};

const ANY: &str = "127.0.0.1:0";

async fn backend(name: &str) -> BackendServer {
    let config = BackendConfig {
        name: name.to_string(),
        slots: 4,
        work: Duration::from_millis(1),
        checks_grants: false,
    };
    BackendServer::start(ANY.parse().unwrap(), config)
        .await
        .unwrap()
}

async fn wait_until_ready(address: SocketAddr) {
    for _ in 0..200 {
        if get(address, "/readyz")
            .await
            .is_ok_and(|reply| reply.status.is_success())
        {
            return;
        }
        sleep(Duration::from_millis(25)).await;
    }
    panic!("{address} did not become ready");
}

/// A caller requests 40 keys from each of three instances; all must route a key to the same
/// server. Then one instance is killed, and the other two must continue to serve the keys and
/// agree on owners.
#[tokio::test(flavor = "multi_thread")]
async fn three_instances_agree_on_owners_and_survive_a_kill() {
    let platform = PlatformServer::start(ANY.parse().unwrap()).await.unwrap();
    let servers = [backend("server-1").await, backend("server-2").await];
    let named = servers.iter().enumerate().map(|(number, server)| {
        (
            format!("server-{}", number + 1),
            "harbour".to_string(),
            server.address,
        )
    });
    let mut rows = sample_rows(&SampleConfig {
        servers: named.collect(),
        fencing: Fencing::Unchecked,
    });
    rows.push(domain_row("harbour"));
    commit_rows(&platform.memory, "test", rows).await;

    let names = ["entry-1", "entry-2", "entry-3"];
    let mut instances = names.map(|name| Instance::start(name, "harbour", platform.address));
    for instance in &instances {
        wait_until_ready(instance.traffic).await;
    }
    for key in 0..40 {
        let mut owners = BTreeSet::new();
        for instance in &instances {
            owners.insert(owner(instance.traffic, key).await);
        }
        assert_eq!(owners.len(), 1, "key {key} has owners {owners:?}");
    }

    let metrics = get(instances[0].traffic, "/metrics").await.unwrap();
    let text = String::from_utf8(metrics.body.to_vec()).unwrap();
    for name in [
        "citron_revision",
        "citron_servers_unreachable 0",
        "citron_moves_open 0",
    ] {
        assert!(text.contains(name), "{name} is not in: {text}");
    }

    instances[0].kill();
    for key in 0..40 {
        let first = owner(instances[1].traffic, key).await;
        let second = owner(instances[2].traffic, key).await;
        assert_eq!(first, second);
    }
}

/// Name of the server that answers a request for a key.
async fn owner(address: SocketAddr, key: u32) -> String {
    let reply = get(address, &format!("/kegs/bar-{key}"))
        .await
        .expect("an answer");
    assert_eq!(reply.status, 200);
    assert_eq!(reply.header("citron-outcome"), "ran");
    let body: serde_json::Value = serde_json::from_slice(&reply.body).expect("a whole answer");
    body["server"].as_str().expect("a server").to_string()
}
