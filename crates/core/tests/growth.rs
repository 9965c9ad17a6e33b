//! Cost of single steps as a deployment grows. Counts allocations instead of time, except
//! for a step that scans without allocating.

use {
    allocation_counter::measure,
    citron_core::{
        id::{Epoch, ServerName, ServiceName, Slots},
        ranges::{
            BalanceLimits, Balancer, Capacity, Demand, KeyRange, LeaseTimes, LeaseTracker, Order,
            OrderOutcome, PartitionedMap, PlanScope, RangeKey, RangeMap, Reconciler,
            partition_ranges,
        },
        registry::{Registry, RegistryTimes, ServerEntry, ServerState},
        time::{StoreClock, Time},
    },
    std::time::{Duration, Instant},
};

fn allocations(work: impl FnOnce()) -> u64 {
    measure(work).count_total
}

fn at(millis: u64) -> Time {
    Time::ZERO + Duration::from_millis(millis)
}

fn name(number: usize) -> ServerName {
    format!("server-{number:06}").parse().unwrap()
}

fn entry(number: usize) -> ServerEntry {
    ServerEntry {
        name: name(number),
        service: ["ledger", "pickups"][number % 2].parse().unwrap(),
        address: format!("10.{}.{}.1:80", number / 250, number % 250)
            .parse()
            .unwrap(),
        domain: "east".parse().unwrap(),
        slots: Slots(4),
        state: ServerState::Ready,
        warm_up: Duration::ZERO,
    }
}

fn registry(servers: usize) -> Registry {
    let mut registry = Registry::new(RegistryTimes::STANDARD);
    (0..servers).for_each(|number| registry.apply_entry(entry(number), at(0)));
    registry
}

/// Time to list 200 known entries again; the best of five runs.
fn listing_time(servers: usize) -> Duration {
    let mut registry = registry(servers);
    let tries = (0..5).map(|_| {
        let begun = Instant::now();
        (0..200).for_each(|number| registry.apply_entry(entry(number * 5), at(10)));
        begun.elapsed()
    });
    tries.min().unwrap()
}

/// Guards against comparing each of thousands of entries with all others at start.
#[test]
fn an_entry_is_taken_in_without_a_scan_of_all_servers() {
    let (few, many) = (listing_time(1_000), listing_time(16_000));
    assert!(many < few * 6, "{few:?} at 1,000, {many:?} at 16,000");
}

/// Guards against copying every server, with its strings, for each change of one server.
#[test]
fn lists_share_what_has_not_changed() {
    let changed = |servers: usize| {
        let mut registry = registry(servers);
        registry.server_lists();
        registry.apply_entry(entry(7), at(10));
        allocations(|| {
            registry.server_lists();
        })
    };
    assert!(changed(8_000) <= changed(1_000) + 8, "{}", changed(8_000));
}

struct Planner {
    reconciler: Reconciler,
    registry: Registry,
    clock: StoreClock,
}

impl Planner {
    /// Creates a planner whose servers all hold their keys after the first assignment.
    fn with_held_keys(servers: usize) -> Self {
        let service: ServiceName = "ledger".parse().unwrap();
        let mut registry = Registry::new(RegistryTimes::STANDARD);
        for number in 0..servers {
            let service = service.clone();
            let entry = ServerEntry {
                service,
                ..entry(number)
            };
            registry.apply_entry(entry, at(0));
        }
        let leases = LeaseTracker::new(LeaseTimes::STANDARD, at(0));
        let mut planner = Self {
            reconciler: Reconciler::new(RangeMap::new(), leases),
            registry,
            clock: StoreClock::default(),
        };
        planner.assign_and_grant(servers);
        planner
    }

    fn assign_and_grant(&mut self, servers: usize) {
        let capacity = |number| Capacity {
            server: name(number),
            rate: 10.0,
            accepts_keys: true,
        };
        let capacities: Vec<Capacity> = (0..servers).map(capacity).collect();
        let demand = Demand::default();
        let mut balancer = Balancer::new(BalanceLimits::STANDARD, &capacities, &demand);
        let scope = PlanScope {
            may_assign: true,
            may_rebalance: false,
        };
        let now = at(1_000);
        self.reconciler
            .plan(now, &self.clock, &self.registry, &mut balancer, scope);
        for step in 0..1_000 {
            let now = at(1_000 + step);
            let orders = self.reconciler.orders(now, &self.clock, &self.registry);
            if orders.is_empty() {
                return;
            }
            for order in orders {
                let outcome = OrderOutcome::Done { handover: None };
                self.reconciler.complete(&order, outcome, now);
            }
        }
    }
}

/// Guards against scanning and copying every slice whenever an order completes.
#[test]
fn orders_cost_what_is_due() {
    let idle = |servers: usize| {
        let mut planner = Planner::with_held_keys(servers);
        allocations(|| {
            let now = at(2_500);
            let reconciler = &mut planner.reconciler;
            let orders = reconciler.orders(now, &planner.clock, &planner.registry);
            assert!(orders.is_empty());
        })
    };
    assert!(idle(4_000) <= idle(200) + 8, "{}", idle(4_000));
}

/// Guards against a first assignment whose cost is quadratic in the number of servers.
#[test]
fn a_first_deal_is_committed_in_one_pass() {
    let deal = |servers: usize| allocations(|| drop(Planner::with_held_keys(servers)));
    let (few, many) = (deal(500), deal(4_000));
    assert!(many < few * 12, "{few} at 500, {many} at 4,000");
}

/// Guards against renewing at most 40 leases per call regardless of the number of
/// servers: each answer must admit the next order.
#[test]
fn renewals_of_thousands_of_servers_follow_the_answers() {
    let mut planner = Planner::with_held_keys(6_889);
    let mut granted = 0;
    // One millisecond from an order to its answer.
    for milli in 3_300..5_800 {
        let now = at(milli);
        let reconciler = &mut planner.reconciler;
        let orders = reconciler.orders(now, &planner.clock, &planner.registry);
        for order in orders {
            assert!(matches!(order, Order::Grant { .. }));
            granted += 1;
            let outcome = OrderOutcome::Done { handover: None };
            planner.reconciler.complete(&order, outcome, now);
        }
    }
    let slices = planner.reconciler.map().slices().len();
    assert!(slices > 6_000, "{slices}");
    assert!(granted >= slices, "{granted} of {slices}");
}

/// Guards against a map that outgrows a row of the store and is rejected from then on.
#[test]
fn no_part_of_a_map_holds_more_slices_than_a_row() {
    for servers in [10, 600, 6_889, 30_000] {
        let mut map = RangeMap::new();
        let range = |number: usize| KeyRange {
            first: RangeKey((number * 2) as u16),
            last: RangeKey((number * 2 + 1) as u16),
        };
        map.assign_all(
            (0..servers).map(|number| (range(number), name(number), None)),
            Epoch(0),
        );
        let parts = partition_ranges(&map, &PartitionedMap::default(), 256);
        let slices = parts.iter().map(|part| map.slices_in(*part).len());
        assert!(slices.clone().max().unwrap() <= 256);
        assert!(slices.sum::<usize>() >= servers);
    }
}
