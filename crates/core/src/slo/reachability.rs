//! What an instance can reach, and what has moved, as its map shows it.

use {
    crate::{
        id::{DomainName, ServiceName},
        routing::{RouteMap, ServiceRoutes, Snapshot},
        time::Time,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// ShardCounts of one service, by where their owner is and whether it may be sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct ShardCounts {
    total: u32,
    /// Open, with an owner in the instance's own domain.
    same_domain: u32,
    /// Open, with an owner elsewhere.
    other_domains: u32,
}

/// How much of each service can be reached under one map. Counted once a map,
/// since a service may have a million shards.
#[derive(Debug, Clone, Default)]
pub struct Reachability {
    services: BTreeMap<ServiceName, (ShardCounts, Duration)>,
}

impl Reachability {
    /// Counts the shards of a map.
    pub fn new(map: &RouteMap, domain: &DomainName) -> Self {
        let services = map.services().iter().map(|service| {
            let shards = count_shards(map, service, domain);
            (service.row.name.clone(), (shards, service.row.grace))
        });
        let services = services.collect();
        Self { services }
    }

    /// The share of each service's shards that cannot be reached now, 0 to 1.
    pub fn unreachable_shares(&self, snapshot: &Snapshot, now: Time) -> BTreeMap<ServiceName, f64> {
        let unreachable_share = |shards: &ShardCounts, grace: Duration| {
            let is_allowed = |own| snapshot.confirmation.allows(now, own, grace);
            let own = if is_allowed(true) {
                shards.same_domain
            } else {
                0
            };
            let other = if is_allowed(false) {
                shards.other_domains
            } else {
                0
            };
            let open = f64::from(own + other) / f64::from(shards.total.max(1));
            1.0 - open
        };
        let services = self.services.iter();
        let shares = services
            .map(|(name, (shards, grace))| (name.clone(), unreachable_share(shards, *grace)));
        shares.collect()
    }
}

fn count_shards(map: &RouteMap, service: &ServiceRoutes, domain: &DomainName) -> ShardCounts {
    let mut shards = ShardCounts::default();
    for route in service.shards() {
        shards.total += 1;
        match route.filter(|route| route.is_open) {
            Some(route) if map.server(route.server).domain == *domain => shards.same_domain += 1,
            Some(_) => shards.other_domains += 1,
            None => {}
        }
    }
    shards
}

/// ShardCounts of each service whose owner differs between two maps. ShardCounts that had
/// no owner before do not count: nothing was moved.
pub fn moved_shards(before: &RouteMap, after: &RouteMap) -> BTreeMap<ServiceName, u64> {
    let mut moved = BTreeMap::new();
    for new in after.services() {
        let old = before.services();
        let Some(old) = old.iter().find(|old| old.row.name == new.row.name) else {
            continue;
        };
        let pairs = old.shards().zip(new.shards());
        let changed = pairs.filter(|pair| match pair {
            (Some(old), Some(new)) => {
                before.server(old.server).name != after.server(new.server).name
            }
            _ => false,
        });
        moved.insert(new.row.name.clone(), changed.count() as u64);
    }
    moved
}
