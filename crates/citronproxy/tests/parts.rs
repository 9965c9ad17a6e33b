//! Parts of a backend server's slots, worked out from what instances tell each
//! other.

mod support;

use {
    citron_core::table::{Fencing, Row},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    support::{Deployment, Inside, get, until_serving},
    tokio::{task::LocalSet, time::sleep},
};

const PAUSE: Duration = Duration::from_millis(30);
const PATIENCE: Duration = Duration::from_secs(40);
/// At least so long after an instance's last report its part is its own.
/// Reports count for 2 s and come each 0.5 s; the rest is for a busy machine.
const KEPT: Duration = Duration::from_millis(500);

/// Sends requests for one key, so many to each instance in turn.
async fn send(calls: &[(SocketAddr, usize)]) {
    for (instance, count) in calls {
        for _ in 0..*count {
            // A refusal counts as demand too.
            let _ = get(*instance, "/kegs/a").await;
        }
    }
    sleep(PAUSE).await;
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
    LocalSet::new().run_until(shared()).await;
}

async fn shared() {
    let grace = Duration::from_secs(2);
    let deployment = Deployment::start(&["harbour"], Fencing::Unchecked, grace).await;
    let near = Inside::start("entry-1", "harbour", &deployment.platform.memory).await;
    until_serving(near.workers.address).await;
    let far = deployment.instance("entry-2", "harbour").await;
    let part = || near.slots_of("server-1").unwrap_or(0.0);

    let begun = Instant::now();
    let calls = [(near.workers.address, 1), (far.traffic, 3)];
    while !(0.85..1.3).contains(&part()) || begun.elapsed() < Duration::from_secs(5) {
        assert!(begun.elapsed() < PATIENCE, "the part is {}", part());
        send(&calls).await;
    }

    far.pause();
    let stopped = Instant::now();
    let mut even = false;
    loop {
        assert!(stopped.elapsed() < PATIENCE, "the part is {}", part());
        let now = part();
        let listed = is_listed(&deployment, "entry-2").await;
        if now > 1.5 {
            assert!(
                stopped.elapsed() >= KEPT,
                "{now} after {:?}",
                stopped.elapsed()
            );
        }
        if now > 2.5 {
            assert!(!listed, "{now} while the other one may still send");
            assert!(even, "the even part came first");
            break;
        }
        even |= now > 1.5;
        send(&calls[..1]).await;
    }
    assert!((3.5..=4.0).contains(&part()), "{}", part());
    far.resume();
}
