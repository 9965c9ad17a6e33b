//! Reachability of shards from an instance, and changes of their owners, according to the
//! instance's route map.

use {
    crate::{
        id::{DomainName, ServiceName},
        routing::{RouteMap, ServiceRoutes, Snapshot},
        time::Time,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Numbers of shards of one service, by the failure domain of their owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct ShardCounts {
    total: u32,
    /// Open shards with an owner in the instance's failure domain.
    same_domain: u32,
    /// Open shards with an owner in another failure domain.
    other_domains: u32,
}

/// Reachability of the shards of each service under one route map. The shards are counted
/// once for each map, since a service may have a million of them.
#[derive(Debug, Clone, Default)]
pub struct Reachability {
    services: BTreeMap<ServiceName, (ShardCounts, Duration)>,
}

impl Reachability {
    /// Counts the shards of a map for an instance in `domain`.
    pub fn new(map: &RouteMap, domain: &DomainName) -> Self {
        let services = map.services().iter().map(|service| {
            let shards = count_shards(map, service, domain);
            (service.row.name.clone(), (shards, service.row.grace))
        });
        let services = services.collect();
        Self { services }
    }

    /// The share of each service's shards that is unreachable at `now`, from 0 to 1.
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

/// The number of shards of each service whose owner differs between two maps. Shards that
/// had no owner before are not counted, since they were not moved.
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
