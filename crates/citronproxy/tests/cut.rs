//! A failure domain that is cut off from the platform and the other domain.

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
const KEYS: u32 = 48;

/// An instance whose calls to the platform, and those of others to it, go
/// through links.
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

/// The domain `port` is cut off with its instance and its server. The instance
/// goes on serving its own domain's keys for the grace, and nobody else's. In the
/// other domain an operator drains that server: its keys move only once the
/// grace has surely passed, so that never two servers run requests of a key.
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

    println!("moved {move_time:?} after the cut");
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
    assert!(served(2 * SECOND, true) > 0, "nothing served in the grace");
    assert_eq!(served(2 * SECOND, false), 0, "keys of the other domain");
    assert_eq!(served(5 * SECOND, true), 0, "served past the grace");
    assert!(
        move_time >= 4 * SECOND,
        "moved within the grace: {move_time:?}"
    );
    wait_until_serving(far.instance.traffic).await;
}

/// As before, but an operator states that the cut-off domain is dead. That is
/// only true once its instance and server are gone, and ends the wait at once.
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
    assert!(deployment.moving_shards().await > 0, "waits for the grace");
    deployment.declare_lost("port", "ann").await;
    let move_time = deployment.wait_until_empty("server-2").await;
    println!("moved {move_time:?} after the statement");
    assert!(move_time < 8 * SECOND, "{move_time:?}");
    wait_until_serving(near.instance.traffic).await;
}
