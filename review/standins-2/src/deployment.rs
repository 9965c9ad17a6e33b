//! A small deployment: store, upstreams of a service that is divided by keys, and instances.

use crate::{client, instance::Instance, record::Record, store::Store, upstream::Upstream};
use std::{
    net::SocketAddr,
    path::Path,
    thread::sleep,
    time::{Duration, Instant},
};

pub const HOST: &str = "ledger.example";
const ZONES: [&str; 4] = ["bne-north", "bne-south", "ipswich-one", "goldcoast-one"];
const CONFIG: &str = r#"{"version":"00000007","limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},"listeners":[{"host":"ledger.example","ruleSet":[{"name":"enquiry","routeType":"safe","targetLatencyS":0.3,"priority":2,"match":{"prefix":"/bars/"},"action":{"service":"cashledger","timeoutS":0.8,"maxAttempts":2}}]}],"clusters":[{"name":"cashledger","healthPath":"/health","maxConns":130,"protocol":"h1","tls":false,"sharded":true,"warmS":3.0,"grants":"per_call"}]}"#;

pub struct Deployment {
    pub record: Record,
    pub store: Store,
    pub upstreams: Vec<Upstream>,
    pub instances: Vec<Instance>,
}

impl Deployment {
    /// Starts it, and waits until all keys are served by all instances.
    pub fn start(
        binary: &Path,
        folder: &Path,
        upstreams: usize,
        instances: usize,
    ) -> Result<Self, String> {
        let record = Record::create(&folder.join("record.txt")).map_err(|e| e.to_string())?;
        let store = Store::start(&record);
        store.put("op", "config", Some(CONFIG));
        let zone = |n: usize| ZONES[n % ZONES.len()];
        let upstreams = (0..upstreams)
            .map(|n| Upstream::start(&format!("i-{n}"), zone(n), &store, &record))
            .collect();
        let mut instances: Vec<Instance> = (0..instances)
            .map(|n| {
                Instance::new(
                    &format!("front-{n}"),
                    zone(n),
                    store.address,
                    binary,
                    folder,
                )
            })
            .collect();
        instances.iter_mut().for_each(Instance::start);
        let deployment = Self {
            record,
            store,
            upstreams,
            instances,
        };
        let addresses = deployment.addresses();
        let is_served = || {
            let mut keys = (0..=u16::MAX).step_by(1_500);
            keys.all(|key| {
                addresses
                    .iter()
                    .all(|to| client::get(*to, key, "start") == Some(200))
            })
        };
        match wait_until(Duration::from_secs(25), is_served) {
            true => Ok(deployment),
            false => Err("not all keys are served at the beginning".to_string()),
        }
    }

    /// Addresses at which the instances take clients.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.instances
            .iter()
            .map(|instance| instance.traffic)
            .collect()
    }

    /// Instances whose processes have ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let instances = self.instances.iter_mut();
        let ended = instances.filter_map(|one| one.has_exited().then(|| one.name.clone()));
        ended.collect()
    }
}

/// Whether a condition holds within `limit`.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if condition() {
            return true;
        }
        sleep(Duration::from_millis(20));
    }
    false
}
