//! Backend servers that leave, and load that is rebalanced, under continuous traffic.

mod support;

use {
    citron_core::table::Fencing,
    citron_ports::MachineState,
    std::time::{Duration, Instant},
    support::{Callers, Deployment, check_outcomes, check_single_owner},
    tokio::time::sleep,
};

/// Time within which a leaving server must own no keys any more.
const EVACUATION_LIMIT: Duration = Duration::from_secs(3);

/// Source from which instances learn that a server leaves.
#[derive(Debug, Clone, Copy)]
enum LeaveSignal {
    /// An operator drains the server's row.
    ServerRow,
    /// The platform lists the server as leaving.
    PlatformList,
    /// The server itself reports it.
    Server,
}

/// A server leaves while callers send non-idempotent requests for all keys. Its keys must move to
/// the other servers within `EVACUATION_LIMIT`, every request must succeed, and no key may have
/// two owners.
async fn check_leaving(fencing: Fencing, signal: LeaveSignal) {
    let case = format!("{fencing:?} {signal:?}");
    // Long enough that requests are always in progress when the moves start.
    let work = Duration::from_millis(60);
    let times = [Duration::from_secs(3), Duration::from_secs(3), work];
    let deployment = Deployment::start_with(&["harbour"; 3], fencing, times).await;
    let one = deployment.instance("entry-1", "harbour").await;
    let two = deployment.instance("entry-2", "harbour").await;
    let callers = Callers::start(&[[one.traffic, two.traffic]; 3].concat(), 48);
    sleep(Duration::from_millis(300)).await;
    let signalled_at = Instant::now();
    match signal {
        LeaveSignal::ServerRow => deployment.drain("server-1").await,
        LeaveSignal::PlatformList => {
            let memory = &deployment.platform.memory;
            memory.set_machine("server-1", Some(MachineState::Leaving));
        }
        LeaveSignal::Server => deployment.servers[0].drain(),
    }
    deployment.wait_until_empty("server-1").await;
    let move_time = signalled_at.elapsed();
    sleep(Duration::from_millis(300)).await;
    let records = callers.stop().await;
    println!(
        "{case}: moved in {move_time:?} under {} requests",
        records.len()
    );
    assert!(move_time < EVACUATION_LIMIT, "{case}: {move_time:?}");
    let refused: Vec<_> = records
        .iter()
        .filter(|record| record.status != 200)
        .collect();
    assert!(refused.is_empty(), "{case}: {refused:?}");
    check_outcomes(&records, &deployment.runs());
    check_single_owner(&deployment.runs());
    let slowest = records.iter().map(|record| record.latency).max();
    println!("{case}: slowest answer {slowest:?}");
}

/// All load is on one of three servers. Once the imbalance has lasted, shards must move to the
/// others until at most half of the keys are left, and every request must succeed.
#[tokio::test(flavor = "multi_thread")]
async fn a_lasting_imbalance_is_mended_under_load() {
    let work = Duration::from_millis(20);
    let times = [Duration::from_secs(3), Duration::from_secs(3), work];
    let deployment = Deployment::start_with(&["harbour"; 3], Fencing::Checked, times).await;
    let one = deployment.instance("entry-1", "harbour").await;
    let two = deployment.instance("entry-2", "harbour").await;
    let before = deployment.keys_of("server-1", 48).await;
    let callers = Callers::start_for_keys(&[[one.traffic, two.traffic]; 2].concat(), &before);
    let started = Instant::now();
    let mut left = before.clone();
    while left.len() * 2 > before.len() {
        assert!(started.elapsed() < Duration::from_secs(40), "{left:?}");
        sleep(Duration::from_millis(100)).await;
        left = deployment.keys_of("server-1", 48).await;
        left.retain(|key| before.contains(key));
    }
    let move_time = started.elapsed();
    sleep(Duration::from_millis(300)).await;
    let records = callers.stop().await;
    println!(
        "{} of {} loaded keys left after {move_time:?}",
        left.len(),
        before.len()
    );
    let refused: Vec<_> = records
        .iter()
        .filter(|record| record.status != 200)
        .collect();
    assert!(refused.is_empty(), "{refused:?}");
    check_outcomes(&records, &deployment.runs());
    check_single_owner(&deployment.runs());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_server_that_checks_grants() {
    for signal in [
        LeaveSignal::ServerRow,
        LeaveSignal::PlatformList,
        LeaveSignal::Server,
    ] {
        check_leaving(Fencing::Checked, signal).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_server_that_does_not() {
    for signal in [
        LeaveSignal::ServerRow,
        LeaveSignal::PlatformList,
        LeaveSignal::Server,
    ] {
        check_leaving(Fencing::Unchecked, signal).await;
    }
}
