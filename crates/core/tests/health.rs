//! Servers that fail, freeze, answer slowly or come back; connections gone silent.

use {
    citron_core::{
        health::{Blame, Check, HealthConfig, Kept, Links, PoolHealth},
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
    (0..times).for_each(|_| pool.failed(name, at(0)));
}

/// A server freezes. After some failures in a row, callers are told at once when
/// to come back instead of waiting for their deadlines.
#[test]
fn a_server_that_fails_in_a_row_is_ejected() {
    let names = names(6);
    let mut pool = pool(&names);
    fail(&mut pool, &names[0], 4);
    pool.succeeded(&names[0], FAST, at(0));
    fail(&mut pool, &names[0], 4);
    assert_eq!(pool.check(&names[0], true, at(0)), Check::Pass);
    fail(&mut pool, &names[0], 1);
    let wait = Duration::from_secs(1);
    assert_eq!(pool.check(&names[0], true, at(0)), Check::Refuse { wait });
    assert_eq!(pool.check(&names[1], true, at(0)), Check::Pass);
}

/// The instance's own network fails, and every server looks bad. Ejecting them
/// all would turn a passing fault into an outage.
#[test]
fn no_more_than_the_stated_share_is_ejected() {
    for (servers, most) in [(1, 0), (3, 0), (4, 1), (6, 1), (10, 3), (20, 6)] {
        let names = names(servers);
        let mut pool = pool(&names);
        for name in &names {
            fail(&mut pool, name, 50);
        }
        assert_eq!(pool.ejected().count(), most, "{servers} servers");
    }
}

/// One server answers far slower than its pool, reporting that all is well.
#[test]
fn a_slow_server_is_ejected_by_own_measurements() {
    let names = names(6);
    let mut pool = pool(&names);
    for _ in 0..100 {
        pool.succeeded(&names[0], SLOW, at(0));
        for name in &names[1..] {
            pool.succeeded(name, FAST, at(0));
        }
    }
    assert_eq!(pool.ejected().collect::<Vec<_>>(), [&names[0]]);
}

/// All servers are slow alike, at a rush: none is an outlier.
#[test]
fn a_pool_that_is_slow_as_a_whole_keeps_its_servers() {
    let names = names(6);
    let mut pool = pool(&names);
    for _ in 0..100 {
        for name in &names {
            pool.succeeded(name, SLOW, at(0));
        }
    }
    assert_eq!(pool.ejected().count(), 0);
}

/// An ejected server is probed by one request at a time, less and less often
/// while it fails, and taken back after three answers.
#[test]
fn an_ejected_server_is_probed_and_taken_back() {
    let names = names(6);
    let mut pool = pool(&names);
    fail(&mut pool, &names[0], 5);
    assert_eq!(pool.check(&names[0], true, at(1_000)), Check::Probe);
    assert!(matches!(
        pool.check(&names[0], true, at(1_001)),
        Check::Refuse { .. }
    ));
    pool.failed(&names[0], at(1_500));
    let wait = Duration::from_secs(2);
    assert_eq!(
        pool.check(&names[0], true, at(1_500)),
        Check::Refuse { wait }
    );
    let mut back = Vec::new();
    for round in 0..3 {
        assert_eq!(
            pool.check(&names[0], true, at(10_000 + 5_000 * round)),
            Check::Probe
        );
        back.push(pool.succeeded(&names[0], FAST, at(10_100)));
    }
    assert_eq!(back, [false, false, true]);
    assert_eq!(pool.check(&names[0], true, at(25_000)), Check::Pass);
}

/// The server of a service without idempotent requests is frozen. Its probes risk
/// an `unknown`, but without any the server would stay out for good.
#[test]
fn other_requests_probe_only_when_no_idempotent_one_does() {
    let names = names(6);
    let mut pool = pool(&names);
    fail(&mut pool, &names[0], 5);
    let wait = Duration::from_millis(500);
    assert_eq!(
        pool.check(&names[0], false, at(1_500)),
        Check::Refuse { wait }
    );
    assert_eq!(pool.check(&names[0], false, at(2_000)), Check::Probe);
}

/// Open connections go silent for good while new ones work. One request finds
/// out; the others are not put on any connection that is as old, except one that
/// has shown life since. The server is not blamed.
#[test]
fn suspicion_stays_with_old_connections() {
    let mut links = Links::default();
    let old = Kept {
        opened: at(0),
        alive: at(900),
    };
    let lively = Kept {
        opened: at(0),
        alive: at(1_500),
    };
    let new = Kept {
        opened: at(2_100),
        alive: at(2_100),
    };
    assert!(
        [old, lively]
            .iter()
            .all(|kept| links.allows(*kept, true, at(1_000)))
    );
    assert_eq!(links.silent(at(0), at(1_000), at(2_000)), Blame::Links);
    let allowed = [old, lively, new].map(|kept| links.allows(kept, true, at(2_200)));
    assert_eq!(allowed, [false, true, true]);
    assert_eq!(links.silent(at(2_100), at(2_100), at(3_100)), Blame::Server);
}

/// A purchase on a connection that has silently died would end as `unknown`. It
/// goes only where life was seen a short while ago.
#[test]
fn requests_that_are_not_idempotent_avoid_long_idle_connections() {
    let links = Links::default();
    let idle = Kept {
        opened: at(0),
        alive: at(0),
    };
    let cases = [
        (4_000, true, true),
        (6_000, true, false),
        (70_000, false, false),
    ];
    for (millis, idempotent, other) in cases {
        assert_eq!(links.allows(idle, true, at(millis)), idempotent);
        assert_eq!(links.allows(idle, false, at(millis)), other);
    }
}
