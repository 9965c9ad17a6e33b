//! The store comes back from a copy some seconds old, and all machines of the system lose power at
//! the same moment. Meanwhile two upstreams are taken away, as planned: one reports that it drains,
//! the other one never reports it.

use crate::{
    client::Clients,
    deployment::{wait_until, Deployment},
    instance::Instance,
    upstream::overlaps,
};
use std::{
    path::Path,
    thread::sleep,
    time::{Duration, Instant},
};

/// Longest time for which two upstreams may hold the same keys.
const OVERLAP_MAX: Duration = Duration::from_millis(500);
/// Time for which an upstream that leaves goes on serving: `drainS`, and some seconds longer.
const LEAVE_TIME: Duration = Duration::from_secs(8);
/// How long the store is away.
const ABSENCE: Duration = Duration::from_millis(600);
/// How long the machines are without power.
const POWER_LOSS: Duration = Duration::from_millis(1_400);

pub fn run(binary: &Path, folder: &Path, has_trouble: bool) -> Result<bool, String> {
    let mut deployment = Deployment::start(binary, folder, 16, 6)?;
    let record = deployment.record.clone();
    record.line("all keys are served");
    let clients = Clients::start(6, deployment.addresses(), &record);
    sleep(Duration::from_secs(5));

    let (copy, copied) = (deployment.store.copy(), Instant::now());
    record.line("the state of the copy");
    sleep(Duration::from_millis(200));
    let upstreams = deployment.upstreams.clone();
    upstreams[0].drain(&deployment.store, LEAVE_TIME);
    let gained = || {
        upstreams[1..]
            .iter()
            .find(|upstream| upstream.has_gained(copied))
    };
    if !wait_until(Duration::from_secs(4), || gained().is_some()) {
        return Err("no upstream got keys of the one that drains".to_string());
    }
    let withdrawn = gained().ok_or("it lost them again")?;
    record.line(&format!("{} holds keys that i-0 held", withdrawn.id));
    sleep(Duration::from_millis(300));
    if has_trouble {
        deployment.store.go_away();
        record.line("all machines lose power");
        deployment.instances.iter_mut().for_each(Instance::kill);
    }
    sleep(ABSENCE / 2);
    withdrawn.withdraw(LEAVE_TIME);
    sleep(ABSENCE / 2);
    if has_trouble {
        deployment.store.come_back(copy);
        sleep(POWER_LOSS - ABSENCE);
        deployment.instances.iter_mut().for_each(Instance::start);
        record.line("all machines start");
    }
    sleep(Duration::from_secs(14));
    clients.close();
    let ended = deployment.ended();
    if !ended.is_empty() {
        record.line(&format!("ended by themselves: {ended:?}"));
    }
    let found = overlaps(&upstreams, OVERLAP_MAX);
    for overlap in &found {
        let (one, other) = (&overlap.one, &overlap.other);
        record.line(&format!(
            "OWNER: keys {}-{} held by {} (epoch {}) and {} (epoch {}) from {:.3} to {:.3}",
            one.first.max(other.first),
            one.last.min(other.last),
            one.server,
            one.epoch,
            other.server,
            other.epoch,
            record.seconds(overlap.from),
            record.seconds(overlap.until)
        ));
    }
    record.line(match found.is_empty() {
        true => "held: no key had two holders for over half a second",
        false => "broken: OWNER",
    });
    Ok(found.is_empty())
}
