//! Parts of a backend server's slots, worked out from what instances tell each
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
/// At least so long after an instance's last report its part is its own.
/// Reports count for 2 s and come each 0.5 s; the rest is for a busy machine.
const MIN_HOLD: Duration = Duration::from_millis(500);

/// Sends requests for one key, so many to each instance in turn.
async fn send(calls: &[(SocketAddr, usize)]) {
    for (instance, count) in calls {
        for _ in 0..*count {
            // A refusal counts as demand too.
            let _ = get(*instance, "/kegs/a").await;
        }
    }
    sleep(SEND_INTERVAL).await;
}

async fn is_listed(deployment: &Deployment, name: &str) -> bool {
    let rows = deployment.changes().await.rows;
    let named = |row: &Row| matches!(row, Row::Instance(row) if row.id.as_str() == name);
    rows.iter()
        .any(|(_, _, row)| row.as_ref().is_some_and(named))
}

/// A caller sends three requests to `entry-2` for each to `entry-1`; the server's
/// four slots are shared as 3 to 1. Then `entry-2` stops without a word. It may
/// be cut off and go on sending: for 2 s nothing changes, then its even part is
/// left to it while it is in the table, and only then `entry-1` takes all four.
#[tokio::test]
async fn a_part_follows_demand_and_is_handed_on_when_it_has_lapsed() {
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
        assert!(started.elapsed() < WAIT_TIMEOUT, "the part is {}", share());
        send(&calls).await;
    }

    far.pause();
    let paused_at = Instant::now();
    let mut has_even_share = false;
    loop {
        assert!(
            paused_at.elapsed() < WAIT_TIMEOUT,
            "the part is {}",
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
            assert!(!is_in_table, "{current} while the other one may still send");
            assert!(has_even_share, "the even part came first");
            break;
        }
        has_even_share |= current > 1.5;
        send(&calls[..1]).await;
    }
    assert!((3.5..=4.0).contains(&share()), "{}", share());
    far.resume();
}
