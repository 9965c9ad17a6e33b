//! Detection of servers that fail, freeze, slow down or recover, and of dead connections.

use {
    citron_core::{
        health::{
            ConnectionAge, ConnectionHealth, HealthConfig, HealthDecision, PoolHealth, SilenceCause,
        },
        id::ServerName,
        time::Time,
    },
    std::time::Duration,
};

const FAST: Duration = Duration::from_millis(20);
const SLOW: Duration = Duration::from_millis(400);

fn at(millis: u64) -> Time {
    Time::ZERO + Duration::from_millis(millis)
}

fn names(count: usize) -> Vec<ServerName> {
    let name = |n| format!("server-{n}").parse().unwrap();
    (0..count).map(name).collect()
}

fn pool(names: &[ServerName]) -> PoolHealth {
    let mut pool = PoolHealth::new(HealthConfig::STANDARD);
    pool.set_servers(names.iter().cloned());
    pool
}

fn fail(pool: &mut PoolHealth, name: &ServerName, times: u32) {
    (0..times).for_each(|_| pool.record_failure(name, at(0)));
}

/// Guards against clients that wait for their deadlines at a frozen server: after
/// consecutive failures they get a time to retry at once.
#[test]
fn a_server_that_fails_in_a_row_is_ejected() {
    let names = names(6);
    let mut pool = pool(&names);
    fail(&mut pool, &names[0], 4);
    pool.record_success(&names[0], FAST, at(0));
    fail(&mut pool, &names[0], 4);
    assert_eq!(pool.check(&names[0], true, at(0)), HealthDecision::Pass);
    fail(&mut pool, &names[0], 1);
    let wait = Duration::from_secs(1);
    assert_eq!(
        pool.check(&names[0], true, at(0)),
        HealthDecision::Refuse { wait }
    );
    assert_eq!(pool.check(&names[1], true, at(0)), HealthDecision::Pass);
}

/// Guards against an outage by ejection of all servers when the instance's own network
/// fails.
#[test]
fn no_more_than_the_stated_share_is_ejected() {
    for (servers, max) in [(1, 0), (3, 0), (4, 1), (6, 1), (10, 3), (20, 6)] {
        let names = names(servers);
        let mut pool = pool(&names);
        for name in &names {
            fail(&mut pool, name, 50);
        }
        assert_eq!(pool.ejected().count(), max, "{servers} servers");
    }
}

/// Guards against a server that responds far slower than its pool while it reports to be
/// healthy.
#[test]
fn a_slow_server_is_ejected_by_own_measurements() {
    let names = names(6);
    let mut pool = pool(&names);
    for _ in 0..100 {
        pool.record_success(&names[0], SLOW, at(0));
        for name in &names[1..] {
            pool.record_success(name, FAST, at(0));
        }
    }
    assert_eq!(pool.ejected().collect::<Vec<_>>(), [&names[0]]);
}

/// Guards against ejections when all servers are equally slow under high load.
#[test]
fn a_pool_that_is_slow_as_a_whole_keeps_its_servers() {
    let names = names(6);
    let mut pool = pool(&names);
    for _ in 0..100 {
        for name in &names {
            pool.record_success(name, SLOW, at(0));
        }
    }
    assert_eq!(pool.ejected().count(), 0);
}

/// Guards against a full load on an ejected server: it gets one probe at a time, at
/// growing intervals while it fails, and returns after three responses.
#[test]
fn an_ejected_server_is_probed_and_taken_back() {
    let names = names(6);
    let mut pool = pool(&names);
    fail(&mut pool, &names[0], 5);
    assert_eq!(
        pool.check(&names[0], true, at(1_000)),
        HealthDecision::Probe
    );
    assert!(matches!(
        pool.check(&names[0], true, at(1_001)),
        HealthDecision::Refuse { .. }
    ));
    pool.record_failure(&names[0], at(1_500));
    let wait = Duration::from_secs(2);
    assert_eq!(
        pool.check(&names[0], true, at(1_500)),
        HealthDecision::Refuse { wait }
    );
    let mut restored = Vec::new();
    for round in 0..3 {
        assert_eq!(
            pool.check(&names[0], true, at(10_000 + 5_000 * round)),
            HealthDecision::Probe
        );
        restored.push(pool.record_success(&names[0], FAST, at(10_100)));
    }
    assert_eq!(restored, [false, false, true]);
    assert_eq!(
        pool.check(&names[0], true, at(25_000)),
        HealthDecision::Pass
    );
}

/// Guards against a frozen server that never returns, as its service has no idempotent
/// requests. Its probes may end as `unknown`.
#[test]
fn other_requests_probe_only_when_no_idempotent_one_does() {
    let names = names(6);
    let mut pool = pool(&names);
    fail(&mut pool, &names[0], 5);
    let wait = Duration::from_millis(500);
    assert_eq!(
        pool.check(&names[0], false, at(1_500)),
        HealthDecision::Refuse { wait }
    );
    assert_eq!(
        pool.check(&names[0], false, at(2_000)),
        HealthDecision::Probe
    );
}

/// Guards against requests lost one by one on dead connections. After the first loss, all
/// connections as old are avoided, except those from which data was read since. The
/// silence does not count against the server.
#[test]
fn suspicion_stays_with_old_connections() {
    let mut connections = ConnectionHealth::default();
    let old = ConnectionAge {
        opened: at(0),
        last_read: at(900),
    };
    let recently_read = ConnectionAge {
        opened: at(0),
        last_read: at(1_500),
    };
    let new = ConnectionAge {
        opened: at(2_100),
        last_read: at(2_100),
    };
    assert!(
        [old, recently_read]
            .iter()
            .all(|kept| connections.allows(*kept, true, at(1_000)))
    );
    assert_eq!(
        connections.record_silence(at(0), at(1_000), at(2_000)),
        SilenceCause::Connections
    );
    let allowed = [old, recently_read, new].map(|kept| connections.allows(kept, true, at(2_200)));
    assert_eq!(allowed, [false, true, true]);
    assert_eq!(
        connections.record_silence(at(2_100), at(2_100), at(3_100)),
        SilenceCause::Server
    );
}

/// Guards against a request that is not idempotent and ends as `unknown` on a dead
/// connection: it uses only connections with recent reads.
#[test]
fn requests_that_are_not_idempotent_avoid_long_idle_connections() {
    let connections = ConnectionHealth::default();
    let idle = ConnectionAge {
        opened: at(0),
        last_read: at(0),
    };
    let cases = [
        (4_000, true, true),
        (6_000, true, false),
        (70_000, false, false),
    ];
    for (millis, idempotent, other) in cases {
        assert_eq!(connections.allows(idle, true, at(millis)), idempotent);
        assert_eq!(connections.allows(idle, false, at(millis)), other);
    }
}
