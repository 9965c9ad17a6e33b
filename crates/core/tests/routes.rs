//! Selection of the route for a request.

use {
    citron_core::routes::{
        ConfigVersion, Idempotency, ListenerLimits, RouteConfig, RouteRule, TrafficSplit,
    },
    std::time::Duration,
};

fn route(prefix: &str) -> RouteRule {
    RouteRule {
        name: prefix.to_string(),
        prefix: prefix.to_string(),
        idempotency: Idempotency::AtMostOnce,
        split: TrafficSplit::single("bars".parse().unwrap()),
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(300),
        max_attempts: 1,
        priority: 0,
    }
}

fn config(hosts: &[&str]) -> RouteConfig {
    let limits = ListenerLimits {
        max_header_bytes: 1_024,
        max_body_bytes: 1_024,
        header_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(1),
    };
    let routes = hosts.iter().map(|host| (host.to_string(), route("/a/")));
    RouteConfig::new(ConfigVersion(1), limits, routes, [])
}

/// Guards against requests that match no route because the caller or the operator has
/// written the host name in upper case.
#[test]
fn names_of_hosts_are_the_same_in_any_case() {
    let config = config(&["bars.example", "KEGS.example"]);
    for host in [
        "bars.example",
        "Bars.Example",
        "kegs.example",
        "KEGS.EXAMPLE",
    ] {
        assert!(config.rule(host, "/a/1").is_some(), "{host}");
    }
    assert!(config.rule("bars.example", "/A/1").is_none());
}
