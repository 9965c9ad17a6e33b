//! A failure domain that is cut off from the platform and from the other domain.

mod support;

use {
    citron_core::table::Fencing,
    citron_fakes::link::Link,
    std::time::{Duration, Instant},
    support::{
        Callers, Deployment, Instance, any_address, check_outcomes, check_single_owner,
        wait_until_serving,
    },
    tokio::time::sleep,
};

const SECOND: Duration = Duration::from_secs(1);
/// Distinct keys of the callers.
const KEYS: u32 = 48;

/// An instance that calls the platform, and is called by other instances, through links that the
/// test can cut.
struct LinkedInstance {
    instance: Instance,
    links: [Link; 2],
}

impl LinkedInstance {
    async fn start(deployment: &Deployment, name: &str, domain: &str) -> Self {
        let platform = Link::start(deployment.platform.address).await.unwrap();
        let peer = Link::start(any_address()).await.unwrap();
        let extra_settings = format!(r#", "advertise": "{}" "#, peer.address);
        let instance = Instance::start_with(name, domain, platform.address, &extra_settings);
        peer.set_target(instance.peer);
        wait_until_serving(instance.traffic).await;
        let links = [platform, peer];
        Self { instance, links }
    }

    fn cut(&self) {
        self.links.iter().for_each(Link::cut);
    }

    fn heal(&self) {
        self.links.iter().for_each(Link::heal);
    }
}

/// The domain `port` is cut off with its instance and its server, and an operator in the other
/// domain drains that server. The cut-off instance must serve the keys of its own domain until
/// the grace ends, and no other keys. The drained server's keys must move only after the grace,
/// so that two servers never run requests for one key.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_off_domain_serves_its_keys_for_the_grace_and_no_longer() {
    let times = [4 * SECOND, SECOND / 2, Duration::from_millis(2)];
    let domains = ["kingston", "port"];
    let deployment = Deployment::start_with(&domains, Fencing::Unchecked, times).await;
    let near = LinkedInstance::start(&deployment, "entry-1", "kingston").await;
    let far = LinkedInstance::start(&deployment, "entry-2", "port").await;
    let far_keys = deployment.keys_of("server-2", KEYS).await;
    let near_callers = Callers::start(&[near.instance.traffic], KEYS);
    let far_callers = Callers::start(&[far.instance.traffic], KEYS);
    sleep(SECOND / 2).await;

    let cut_at = Instant::now();
    far.cut();
    near.links[1].cut();
    deployment.drain("server-2").await;
    deployment.wait_until_empty("server-2").await;
    let move_time = cut_at.elapsed();
    sleep(SECOND).await;
    let far_records = far_callers.stop().await;
    far.heal();
    near.heal();
    let near_records = near_callers.stop().await;

    println!("keys moved {move_time:?} after the cut");
    check_single_owner(&deployment.runs());
    check_outcomes(&far_records, &deployment.runs());
    check_outcomes(&near_records, &deployment.runs());
    let served = |from: Duration, own: bool| {
        let late = far_records
            .iter()
            .filter(|record| record.started > cut_at + from);
        late.filter(|record| record.status == 200 && far_keys.contains(&record.key) == own)
            .count()
    };
    assert!(
        served(2 * SECOND, true) > 0,
        "no key of the own domain was served within the grace"
    );
    assert_eq!(
        served(2 * SECOND, false),
        0,
        "keys of the other domain were served"
    );
    assert_eq!(
        served(5 * SECOND, true),
        0,
        "keys were served after the grace"
    );
    assert!(
        move_time >= 4 * SECOND,
        "keys moved within the grace: {move_time:?}"
    );
    wait_until_serving(far.instance.traffic).await;
}

/// Instance and server of a domain are stopped, and an operator declares the domain lost. The
/// declaration must end the wait for the grace of 30 s; it is valid only because nothing in the
/// domain runs any more.
#[tokio::test(flavor = "multi_thread")]
async fn a_domain_that_an_operator_declares_lost_is_not_waited_for() {
    let times = [30 * SECOND, SECOND / 2, Duration::from_millis(2)];
    let domains = ["kingston", "port"];
    let deployment = Deployment::start_with(&domains, Fencing::Unchecked, times).await;
    let near = LinkedInstance::start(&deployment, "entry-1", "kingston").await;
    let mut far = LinkedInstance::start(&deployment, "entry-2", "port").await;
    far.instance.kill();
    deployment.servers[1].crash();
    sleep(3 * SECOND).await;
    assert!(
        deployment.moving_shards().await > 0,
        "the moves did not wait for the grace"
    );
    deployment.declare_lost("port", "ann").await;
    let move_time = deployment.wait_until_empty("server-2").await;
    println!("keys moved {move_time:?} after the declaration");
    assert!(move_time < 8 * SECOND, "{move_time:?}");
    wait_until_serving(near.instance.traffic).await;
}
