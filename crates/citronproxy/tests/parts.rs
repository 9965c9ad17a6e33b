//! Shares of a backend server's slots, computed from the demand that instances report to each
//! other.

mod support;

use {
    citron_core::table::{Fencing, Row},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    support::{Deployment, EmbeddedInstance, get, wait_until_serving},
    tokio::{task::LocalSet, time::sleep},
};

const SEND_INTERVAL: Duration = Duration::from_millis(30);
const WAIT_TIMEOUT: Duration = Duration::from_secs(40);
/// Shortest time for which the share of a paused instance must be kept. Reports are valid for 2 s
/// and sent every 0.5 s; the limit is lower than that allows, for a busy machine.
const MIN_HOLD: Duration = Duration::from_millis(500);

/// Sends requests for one key: to each instance in turn, as many as stated.
async fn send(calls: &[(SocketAddr, usize)]) {
    for (instance, count) in calls {
        for _ in 0..*count {
            // Refused requests count as demand as well.
            let _ = get(*instance, "/kegs/a").await;
        }
    }
    sleep(SEND_INTERVAL).await;
}

/// Whether the table has a row for an instance.
async fn is_listed(deployment: &Deployment, name: &str) -> bool {
    let rows = deployment.changes().await.rows;
    let named = |row: &Row| matches!(row, Row::Instance(row) if row.id.as_str() == name);
    rows.iter()
        .any(|(_, _, row)| row.as_ref().is_some_and(named))
}

/// `entry-2` gets three requests for each request to `entry-1`, so that the server's four slots
/// must be shared 3 to 1. Then `entry-2` is paused. It could also be cut off and still send
/// requests, so its share must be kept while its last report is valid, for 2 s. After that it
/// must keep an even share while it is in the table; only then may `entry-1` use all four slots.
#[tokio::test]
async fn a_share_follows_demand_and_is_reassigned_when_it_has_expired() {
    LocalSet::new().run_until(run_shared()).await;
}

async fn run_shared() {
    let grace = Duration::from_secs(2);
    let deployment = Deployment::start(&["harbour"], Fencing::Unchecked, grace).await;
    let near = EmbeddedInstance::start("entry-1", "harbour", &deployment.platform.memory).await;
    wait_until_serving(near.workers.address).await;
    let far = deployment.instance("entry-2", "harbour").await;
    let share = || near.slots_of("server-1").unwrap_or(0.0);

    let started = Instant::now();
    let calls = [(near.workers.address, 1), (far.traffic, 3)];
    while !(0.85..1.3).contains(&share()) || started.elapsed() < Duration::from_secs(5) {
        assert!(started.elapsed() < WAIT_TIMEOUT, "the share is {}", share());
        send(&calls).await;
    }

    far.pause();
    let paused_at = Instant::now();
    let mut has_even_share = false;
    loop {
        assert!(
            paused_at.elapsed() < WAIT_TIMEOUT,
            "the share is {}",
            share()
        );
        let current = share();
        let is_in_table = is_listed(&deployment, "entry-2").await;
        if current > 1.5 {
            assert!(
                paused_at.elapsed() >= MIN_HOLD,
                "{current} after {:?}",
                paused_at.elapsed()
            );
        }
        if current > 2.5 {
            assert!(
                !is_in_table,
                "a share of {current} while entry-2 may still send"
            );
            assert!(has_even_share, "no even share before the whole");
            break;
        }
        has_even_share |= current > 1.5;
        send(&calls[..1]).await;
    }
    assert!((3.5..=4.0).contains(&share()), "{}", share());
    far.resume();
}
