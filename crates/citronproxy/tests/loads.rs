//! Load of each shard as measured by one instance.

use {
    citron_core::{
        id::{ServiceName, ShardId},
        ownership::Scope,
        placement::Load,
    },
    citronproxy::{control::Loads, traffic::LoadSample},
    std::time::Duration,
};

const SECOND: Duration = Duration::from_secs(1);

fn service() -> ServiceName {
    "kegs".parse().unwrap()
}

fn sample(shard: u32, millis: u64, count: u64) -> LoadSample {
    LoadSample {
        service: service(),
        scope: Scope::Shard(ShardId(shard)),
        busy_time: Duration::from_millis(millis),
        count,
    }
}

fn load_of(loads: &Loads, shard: u32, instances: u32) -> (Load, u32) {
    loads.scope_load(&service(), Scope::Shard(ShardId(shard)), instances)
}

/// A steady load must be reported in full after a while, scaled by the number of instances that
/// share the callers, and must decay once the load has ended.
#[test]
fn a_steady_load_shows_and_fades() {
    let mut loads = Loads::default();
    for _ in 0..100 {
        loads.record(vec![sample(1, 500, 50), sample(2, 100, 10)], SECOND);
    }
    let (load, rate) = load_of(&loads, 1, 3);
    assert!((1_490_000..=1_500_000).contains(&load.0), "{load}");
    assert!((149..=150).contains(&rate), "{rate}");
    let ratio = load.0 / load_of(&loads, 2, 3).0.0;
    assert!((4..=5).contains(&ratio), "{ratio}");
    for _ in 0..10 {
        loads.record(Vec::new(), SECOND);
    }
    let faded = load_of(&loads, 1, 3).0.0;
    assert!((500_000..600_000).contains(&faded), "{faded}");
    for _ in 0..200 {
        loads.record(Vec::new(), SECOND);
    }
    assert_eq!(load_of(&loads, 1, 3), (Load(0), 0));
}

/// A load of few requests on an idle service must be reported as zero, so that it causes no
/// imbalance.
#[test]
fn a_little_load_counts_for_nothing() {
    let mut loads = Loads::default();
    for _ in 0..100 {
        loads.record(vec![sample(1, 50, 5)], SECOND);
    }
    assert_eq!(load_of(&loads, 1, 3), (Load(0), 0), "0.15 slots in total");
    assert!(load_of(&loads, 1, 5).0.0 > 240_000, "0.25 slots in total");
}
