//! Cost of one control step by deployment size: wall-clock time and allocations. There are ten
//! servers for each instance; seven in ten own keys.
//!
//!     cargo run --release -p citron-core --example fleet_cost

use {
    allocation_counter::measure,
    citron_core::{
        id::{ServerName, Slots, StoreVersion},
        ranges::{
            BalanceLimits, Balancer, Capacity, Demand, KeyRange, LeaseTimes, LeaseTracker,
            MapPartition, OrderOutcome, PartitionedMap, PlanScope, RangeKey, RangeMap, Reconciler,
            partition_ranges,
        },
        registry::{Registry, RegistryTimes, ServerEntry, ServerState},
        time::{StoreClock, Time},
    },
    std::time::{Duration, Instant},
};

/// Instances of the measured deployments.
const INSTANCES: [usize; 7] = [12, 86, 195, 300, 1_000, 2_000, 4_400];
/// Largest number of slices of a map partition, as the planner writes it.
const MAX_SLICES: usize = 64;

fn main() {
    println!("| instances | step | ms | allocations |");
    println!("| --- | --- | --- | --- |");
    for instances in INSTANCES {
        Fleet::new(instances).run();
    }
}

/// Control state of one deployment.
struct Fleet {
    instances: usize,
    registry: Registry,
    capacities: Vec<Capacity>,
    reconciler: Reconciler,
    clock: StoreClock,
}

impl Fleet {
    fn new(instances: usize) -> Self {
        let leases = LeaseTracker::new(LeaseTimes::STANDARD, at(0));
        let capacity = |number| Capacity {
            server: name(number),
            rate: 10.0,
            accepts_keys: true,
        };
        Self {
            instances,
            registry: Registry::new(RegistryTimes::STANDARD),
            capacities: (0..instances * 7).map(capacity).collect(),
            reconciler: Reconciler::new(RangeMap::new(), leases),
            clock: StoreClock::default(),
        }
    }

    fn run(mut self) {
        self.measure_step("apply all entries", |fleet| {
            (0..fleet.instances * 10).for_each(|n| fleet.registry.apply_entry(entry(n), at(0)));
            fleet.registry.server_lists();
        });
        self.measure_step("apply one entry, rebuild server lists", |fleet| {
            fleet.registry.apply_entry(entry(7), at(10));
            fleet.registry.server_lists();
        });
        self.measure_step("assign and grant all keys", Self::assign_all);
        self.measure_step("plan, nothing to do", |fleet| fleet.plan(at(2_000)));
        self.measure_step("orders, nothing due", |fleet| fleet.issue_orders(at(2_000)));
        self.measure_step("orders, all due, 40 sent", |fleet| {
            fleet.issue_orders(at(9_000))
        });
        let map = self.reconciler.map().clone();
        let mut partitions = PartitionedMap::default();
        self.measure_step("divide a map into partitions", |_| {
            for range in partition_ranges(&map, &PartitionedMap::default(), MAX_SLICES) {
                let slices = map.slices_in(range);
                let version = StoreVersion(1);
                partitions.insert(MapPartition {
                    range,
                    version,
                    slices,
                });
            }
        });
        let mut copy = partitions.clone();
        self.measure_step("apply one partition", |_| {
            let range = copy.ranges().next().unwrap_or(KeyRange::ALL);
            let slices = map.slices_in(range);
            let version = StoreVersion(2);
            copy.insert(MapPartition {
                range,
                version,
                slices,
            });
        });
        self.measure_step("find the owner of a key", |_| {
            assert!(partitions.slice(RangeKey(40_000)).is_some());
        });
    }

    /// Runs `work` once and prints its time and number of allocations.
    fn measure_step(&mut self, label: &str, work: impl FnOnce(&mut Self)) {
        let mut elapsed = Duration::ZERO;
        let info = measure(|| {
            let started = Instant::now();
            work(self);
            elapsed = started.elapsed();
        });
        let (instances, millis) = (self.instances, elapsed.as_secs_f64() * 1_000.0);
        println!(
            "| {instances} | {label} | {millis:.3} | {} |",
            info.count_total
        );
    }

    fn plan(&mut self, now: Time) {
        let demand = Demand::default();
        let mut balance = Balancer::new(BalanceLimits::STANDARD, &self.capacities, &demand);
        let scope = PlanScope {
            may_assign: true,
            may_rebalance: true,
        };
        let registry = &self.registry;
        self.reconciler
            .plan(now, &self.clock, registry, &mut balance, scope);
    }

    fn issue_orders(&mut self, now: Time) {
        self.reconciler.orders(now, &self.clock, &self.registry);
    }

    /// Plans owners for all keys and completes orders until none is left.
    fn assign_all(&mut self) {
        self.plan(at(1_000));
        loop {
            let now = at(1_000);
            let orders = self.reconciler.orders(now, &self.clock, &self.registry);
            if orders.is_empty() {
                return;
            }
            for order in orders {
                let end = OrderOutcome::Done { handover: None };
                self.reconciler.complete(&order, end, now);
            }
        }
    }
}

fn at(millis: u64) -> Time {
    Time::ZERO + Duration::from_millis(millis)
}

fn name(number: usize) -> ServerName {
    let name = format!("server-{number:06}").parse();
    name.unwrap_or_else(|error| panic!("{error}"))
}

/// Registry entry of a server; seven in ten are of the service `keyed`.
fn entry(number: usize) -> ServerEntry {
    let is_keyed = number % 10 < 7;
    let name = match is_keyed {
        true => name(number / 10 * 7 + number % 10),
        false => name(1_000_000 + number),
    };
    let service = if is_keyed { "keyed" } else { "other" }.parse();
    let domain = "east".parse();
    ServerEntry {
        name,
        service: service.unwrap_or_else(|error| panic!("{error}")),
        address: ([10, (number >> 8) as u8, number as u8, 1], 80).into(),
        domain: domain.unwrap_or_else(|error| panic!("{error}")),
        slots: Slots(4),
        state: ServerState::Ready,
        warm_up: Duration::ZERO,
    }
}
