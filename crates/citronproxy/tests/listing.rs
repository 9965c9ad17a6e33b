//! Instances that join, restart, leave, or start while the platform is down.

mod support;

use {
    citron_core::table::{Fencing, Row},
    std::time::{Duration, Instant},
    support::{Callers, Deployment, Instance, check_outcomes, get, wait_until_serving},
    tokio::time::sleep,
};

const SECOND: Duration = Duration::from_secs(1);

async fn deployment(grace: Duration) -> Deployment {
    Deployment::start(&["harbour"; 2], Fencing::Unchecked, grace).await
}

/// Incarnation in the table row of an instance, if it has a row.
async fn incarnation(deployment: &Deployment, name: &str) -> Option<u64> {
    let rows = deployment.changes().await.rows;
    rows.into_iter().find_map(|(_, _, row)| match row {
        Some(Row::Instance(row)) if row.id.as_str() == name => Some(row.incarnation.0),
        _ => None,
    })
}

/// Two instances are configured with one id. The second must exit with an error that names the
/// first, and the first and its row must stay unchanged.
#[tokio::test(flavor = "multi_thread")]
async fn a_second_instance_of_one_id_is_refused() {
    let deployment = deployment(SECOND).await;
    let one = deployment.instance("entry-1", "harbour").await;
    let before = incarnation(&deployment, "entry-1").await;
    let platform = deployment.platform.address;
    let refused = move || Instance::start_refused("entry-1", "harbour", platform);
    let refused = tokio::task::spawn_blocking(refused).await;
    let (code, stderr_text) = refused.unwrap();
    assert_eq!(code, Some(1), "{stderr_text}");
    let expected = format!("instance entry-1 is already running at {}", one.peer);
    assert!(stderr_text.contains(&expected), "{stderr_text}");
    assert_eq!(incarnation(&deployment, "entry-1").await, before);
    wait_until_serving(one.traffic).await;
}

/// An instance is killed and restarted under its id. Since the former process might only be
/// paused, the new one must not be listed before the former one's lease has ended; until then it
/// serves under a lease that the other instance relays.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_comes_back_waits_for_its_former_start() {
    let grace = 4 * SECOND;
    let deployment = deployment(grace).await;
    let _other = deployment.instance("entry-2", "harbour").await;
    let mut one = deployment.instance("entry-1", "harbour").await;
    let former_incarnation = incarnation(&deployment, "entry-1").await;
    one.kill();
    let killed = Instant::now();
    let again = deployment.instance("entry-1", "harbour").await;
    let serving = killed.elapsed();
    assert_eq!(
        incarnation(&deployment, "entry-1").await,
        former_incarnation
    );
    while incarnation(&deployment, "entry-1").await == former_incarnation {
        assert!(
            killed.elapsed() < 20 * SECOND,
            "the restarted instance was never listed"
        );
        sleep(SECOND / 50).await;
    }
    let listed = killed.elapsed();
    println!("serving after {serving:?}, listed after {listed:?}");
    assert!(listed >= grace, "listed after {listed:?}");
    wait_until_serving(again.traffic).await;
}

/// An instance is asked to leave while callers use it. None of their requests may fail, and its
/// row must be deleted before it exits, so that moves do not wait for it.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_instance_takes_itself_off_the_list() {
    let deployment = deployment(20 * SECOND).await;
    let mut one = deployment.instance("entry-1", "harbour").await;
    let _other = deployment.instance("entry-2", "harbour").await;
    let callers = Callers::start(&[one.traffic], 48);
    sleep(SECOND / 2).await;
    one.terminate();
    sleep(SECOND / 2).await;
    let records = callers.stop().await;
    let started = Instant::now();
    let code = loop {
        if let Some(code) = one.exit_code() {
            break code;
        }
        assert!(
            started.elapsed() < 20 * SECOND,
            "the instance does not exit"
        );
        sleep(SECOND / 50).await;
    };
    assert_eq!(code, 0);
    assert_eq!(incarnation(&deployment, "entry-1").await, None);
    check_outcomes(&records, &deployment.runs());
    let failed = records.iter().find(|record| record.status != 200);
    assert!(failed.is_none(), "{failed:?}");
    deployment.drain("server-1").await;
    let move_time = deployment.wait_until_empty("server-1").await;
    assert!(
        move_time < 10 * SECOND,
        "a move waited for the instance that left: {move_time:?}"
    );
}

/// An instance starts while the platform is down. It must get table and lease from another
/// instance, which its settings name as a seed, and serve its domain's keys.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_starts_while_the_platform_is_down() {
    let deployment = deployment(20 * SECOND).await;
    let one = deployment.instance("entry-1", "harbour").await;
    deployment.platform.faults.update(|t| t.is_down = true);
    sleep(2 * SECOND).await;
    let seeds = format!(r#", "seeds": ["{}"]"#, one.peer);
    let platform = deployment.platform.address;
    let started = Instant::now();
    let two = Instance::start_with("entry-2", "harbour", platform, &seeds);
    wait_until_serving(two.traffic).await;
    println!("serves {:?} after its start", started.elapsed());
    assert_eq!(incarnation(&deployment, "entry-2").await, None);

    // Until the instance is listed, moves wait for it through the instance that lent it the
    // lease. Once the platform is back, the instance must be listed and ready.
    deployment.platform.faults.update(|t| t.is_down = false);
    while incarnation(&deployment, "entry-2").await.is_none() {
        assert!(started.elapsed() < 20 * SECOND, "never listed");
        sleep(SECOND / 50).await;
    }
    assert!(
        get(two.traffic, "/readyz")
            .await
            .unwrap()
            .status
            .is_success()
    );
}
