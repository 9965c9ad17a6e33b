//! Key maps, load balancing and leases of key ranges.

use {
    citron_core::{
        id::{Epoch, ServerName},
        ranges::{
            BalanceLimits, Balancer, Capacity, Demand, Fence, GrantRecord, KeyDemand, KeyRange,
            LeaseTimes, LeaseTracker, Order, OrderOutcome, OwnerState, Owners, PlanScope, Probes,
            RangeKey, RangeMap, Reconciler, Slice,
        },
        time::{StoreClock, StoreTime, Time},
    },
    proptest::prelude::*,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeMap, time::Duration},
};

fn server(number: usize) -> ServerName {
    format!("s-{number:02}").parse().unwrap()
}

fn range(first: u16, last: u16) -> KeyRange {
    KeyRange::new(RangeKey(first), RangeKey(last)).unwrap()
}

fn capacities(rates: &[f64]) -> Vec<Capacity> {
    let capacity = |(number, rate): (usize, &f64)| Capacity {
        server: server(number),
        rate: *rate,
        accepts_keys: true,
    };
    rates.iter().enumerate().map(capacity).collect()
}

proptest! {
    /// Guards against keys without a slice or with two, and against an epoch that does
    /// not rise: a server rejects the grant of an older owner only by its lower epoch.
    #[test]
    fn slices_have_no_gap_and_epochs_rise(
        moves in prop::collection::vec((any::<u16>(), any::<u16>(), 0_usize..4), 1..60),
    ) {
        let mut map = RangeMap::new();
        for (one, other, to) in moves {
            let keys = range(one.min(other), one.max(other));
            let before = map.max_epoch(keys);
            map.assign(keys, &server(to), None);
            let slice = map.slice(keys.first);
            prop_assert_eq!(slice.owner.as_ref(), Some(&server(to)));
            prop_assert!(slice.epoch > before);
            prop_assert!(RangeMap::from_slices(map.slices().to_vec()).is_ok());
        }
    }
}

#[test]
fn a_map_with_a_gap_is_refused() {
    let slice = |range| Slice {
        range,
        owner: None,
        epoch: Epoch(0),
        handover: None,
        expiry: None,
    };
    let error = RangeMap::from_slices(vec![slice(range(0, 9)), slice(range(11, u16::MAX))]);
    insta::assert_snapshot!(error.unwrap_err(), @"slices leave a gap or overlap at 11-65535");
    let mut map = RangeMap::new();
    map.assign(range(0, 9), &server(0), None);
    let error = map
        .set(Slice {
            epoch: Epoch(1),
            ..slice(range(5, 20))
        })
        .unwrap_err();
    insta::assert_snapshot!(error, @"epoch 1 of 5-20 is not above the earlier epoch 1");
}

/// Guards against a handover that reaches other keys: it belongs to the keys that it came
/// with, not to an adjacent slice of the same owner.
#[test]
fn slices_with_a_handover_are_not_joined() {
    let mut map = RangeMap::new();
    map.assign(range(0, 99), &server(0), Some("warm".to_string()));
    map.assign(range(100, 199), &server(0), None);
    assert_eq!(map.owned_by(&server(0)).count(), 2);
    map.clear_handovers(|_| true);
    assert_eq!(map.owned_by(&server(0)).count(), 1);
    assert_eq!(map.slice(RangeKey(0)).range, range(0, 199));
}

/// Demand that falls steeply with the key, as where the busiest keys lie at one end of
/// the key space: the first 5% of the keys get three eighths of the requests, and the
/// first key alone a fortieth.
fn skewed_demand(requests: u32, seed: u64) -> Demand {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut demand = KeyDemand::new(Duration::from_secs(3));
    let mut now = Time::from_micros(0);
    for _ in 0..requests {
        now = now + Duration::from_micros(8_000);
        let drawn: f64 = rng.random();
        demand.add(RangeKey((drawn.powi(3) * 65_535.0) as u16), now);
    }
    demand.snapshot(now)
}

fn loads(map: &RangeMap, demand: &Demand) -> BTreeMap<ServerName, f64> {
    let mut loads = BTreeMap::new();
    for slice in map.slices() {
        if let Some(owner) = &slice.owner {
            *loads.entry(owner.clone()).or_insert(0.0) += demand.rate(slice.range);
        }
    }
    loads
}

/// Applies several rounds of reassignments, with ranges split. Returns the busiest
/// server's load relative to the mean after each round.
fn rebalance(map: &mut RangeMap, demand: &Demand, rates: &[f64], rounds: usize) -> Vec<f64> {
    apply_reassignments(map, demand, rates, rounds, true)
}

fn apply_reassignments(
    map: &mut RangeMap,
    demand: &Demand,
    rates: &[f64],
    rounds: usize,
    may_split: bool,
) -> Vec<f64> {
    let mut max_over_mean = Vec::new();
    for _ in 0..rounds {
        let capacities = capacities(rates);
        let mut balancer = Balancer::new(BalanceLimits::STANDARD, &capacities, demand);
        for slice in map.slices() {
            balancer.add_load(slice.owner.as_ref().unwrap(), slice.range);
        }
        balancer.update_fair_utilization();
        let owned_ranges =
            |server: &ServerName| map.owned_by(server).map(|slice| slice.range).collect();
        for reassignment in balancer.reassignments(0, may_split, owned_ranges) {
            map.assign(reassignment.range, &reassignment.to, None);
        }
        let loads = loads(map, demand);
        let mean = loads.values().sum::<f64>() / rates.len() as f64;
        max_over_mean.push(loads.values().fold(0.0, |a: f64, b| a.max(*b)) / mean);
    }
    max_over_mean
}

/// Guards against a first assignment that puts all busy keys on one server. Before demand
/// is known, with one contiguous range per server, requests for adjacent keys would all
/// reach one of 19 servers and wait or be rejected until enough moves have completed.
/// Stripes spread them from the start.
#[test]
fn stripes_spread_busy_neighbours_before_anything_is_known() {
    let rates = [20.0; 19];
    let no_demand = Demand::default();
    let capacities = capacities(&rates);
    let mut balancer = Balancer::new(BalanceLimits::STANDARD, &capacities, &no_demand);
    let mut map = RangeMap::new();
    for (part, to) in balancer.assign_stripes(KeyRange::ALL) {
        map.assign(part, &to, None);
    }
    assert!(map.slices().iter().all(|slice| slice.owner.is_some()));
    let demand = skewed_demand(500, 1);
    let striped_loads = loads(&map, &demand);
    let mean = striped_loads.values().sum::<f64>() / 19.0;
    let striped = striped_loads.values().fold(0.0, |a: f64, b| a.max(*b)) / mean;
    let equal = demand.rate(range(0, u16::MAX / 19)) / mean;
    assert!(
        equal > 6.0,
        "demand is not skewed enough for this test: {equal}"
    );
    assert!(striped < equal * 0.6, "striped {striped}, equal {equal}");
}

/// Guards against slow rebalancing once skewed demand is known: each round takes as long
/// as the requests on the moving keys.
#[test]
fn a_steep_demand_is_even_after_three_rounds() {
    for seed in 0..10 {
        let rates = [20.0; 19];
        let demand = skewed_demand(500, seed);
        let mut map = RangeMap::new();
        for (at, first) in (0..19_u16).map(|at| (usize::from(at), at * 3_450)) {
            map.assign(range(first, u16::MAX), &server(at), None);
        }
        let max_over_mean = rebalance(&mut map, &demand, &rates, 3);
        assert!(max_over_mean[2] < 1.7, "seed {seed}: {max_over_mean:?}");
        let moved = map.slices().iter().filter(|slice| slice.epoch.0 > 19);
        let moved: u32 = moved.map(|slice| slice.range.len()).sum();
        assert!(moved < 13_000, "seed {seed}: {moved} keys moved");
    }
}

/// Guards against moving a key again and again that exceeds every server's capacity. It
/// cannot be split, so it belongs on the fastest server and stays there, the keys beside
/// it move elsewhere, and the other servers are balanced without it.
#[test]
fn a_hot_key_goes_to_the_fastest_server_and_stays() {
    let mut demand = KeyDemand::new(Duration::from_secs(3));
    let mut now = Time::ZERO;
    for number in 0..1_200_u32 {
        now = now + Duration::from_micros(8_000);
        let key = if number % 5 < 2 {
            700
        } else {
            (number * 7_919) as u16
        };
        demand.add(RangeKey(key), now);
    }
    let demand = demand.snapshot(now);
    let mut rates = [18.0; 12];
    rates[7] = 36.0;
    let mut map = RangeMap::new();
    for (at, first) in (0..12_u16).map(|at| (usize::from(at), at * 5_462)) {
        map.assign(range(first, u16::MAX), &server(at), None);
    }
    rebalance(&mut map, &demand, &rates, 6);
    let hot = map.slice(RangeKey(700)).clone();
    assert_eq!(hot.owner, Some(server(7)));
    let beside = loads(&map, &demand)[&server(7)] - demand.rate(range(700, 700));
    assert!(
        beside < 4.0,
        "{beside} requests a second beside the hot key"
    );
    rebalance(&mut map, &demand, &rates, 6);
    assert_eq!(
        map.slice(RangeKey(700)).epoch,
        hot.epoch,
        "the hot key was moved again"
    );
}

/// Guards against moves based on random variation: 40 requests on 19 servers differ by
/// chance, and the resulting cuts would all be wrong.
#[test]
fn few_requests_move_nothing() {
    let rates = [20.0; 19];
    let demand = skewed_demand(40, 3);
    let mut map = RangeMap::new();
    for (at, first) in (0..19_u16).map(|at| (usize::from(at), at * 3_450)) {
        map.assign(range(first, u16::MAX), &server(at), None);
    }
    let before = map.clone();
    rebalance(&mut map, &demand, &rates, 1);
    assert_eq!(map, before);
}

/// Guards against splitting small slices of leaving servers. Two servers with many small
/// slices left, and with one part for each remaining server that made 600 orders at once.
/// A small instance cannot send them in time, and the keys had no owner for seconds.
#[test]
fn small_slices_find_new_owners_undivided() {
    let rates = [20.0; 19];
    let demand = skewed_demand(500, 5);
    let capacities = capacities(&rates);
    let mut balancer = Balancer::new(BalanceLimits::STANDARD, &capacities, &demand);
    let mut parts = 0;
    for number in 0..34_u16 {
        let slice = range(number * 1_900, number * 1_900 + 600);
        let shared = balancer.distribute(slice);
        assert_eq!(shared.first().unwrap().0.first, slice.first);
        assert_eq!(shared.last().unwrap().0.last, slice.last);
        parts += shared.len();
    }
    assert!(parts < 100, "{parts} parts of 34 slices");
}

/// Guards against two owners of a key after an unanswered grant. The grant may have been
/// in transit for the whole order timeout, and the server's clock may run 2% slow, so the
/// keys must not be assigned earlier.
#[test]
fn a_lease_ends_only_after_transit_and_the_slowest_clock() {
    let times = LeaseTimes::STANDARD;
    let server = server(1);
    let mut leases = LeaseTracker::new(times, Time::ZERO);
    let sent = Time::from_micros(90_000_000);
    leases.record_sent(&server, sent);
    let latest = sent + times.start_timeout + times.order_timeout + times.lease.mul_f64(1.02);
    assert!(leases.lease_end(leases.last_sent(&server)) > latest);
    // An earlier planner may have sent grants until later.
    let previous_until = sent + times.outage_limit;
    let leases = LeaseTracker::new(times, previous_until);
    assert!(
        leases.lease_end(sent) > previous_until + times.order_timeout + times.lease.mul_f64(1.02)
    );
}

/// Guards against waiting too long for a crashed server. Each of its renewals, four per
/// second, fails without being sent. The keys are free one lease after the last grant
/// that may have arrived, not after the last attempt.
#[test]
fn grants_that_never_left_do_not_prolong_a_lease() {
    let times = LeaseTimes::STANDARD;
    let server = server(1);
    let mut leases = LeaseTracker::new(times, Time::ZERO);
    let at = |millis: u64| Time::from_micros(millis * 1_000);
    leases.record_sent(&server, at(1_000));
    for unsent in [3_500, 3_750, 4_000, 6_000] {
        leases.record_sent(&server, at(unsent));
        assert_eq!(
            leases.last_sent(&server),
            at(unsent),
            "the grant may still arrive"
        );
        leases.record_unsent(&server, at(unsent));
        assert_eq!(leases.last_sent(&server), at(1_000));
    }
    // The outcome of this grant is unknown, so it may have arrived.
    leases.record_sent(&server, at(6_250));
    leases.record_sent(&server, at(9_000));
    leases.record_unsent(&server, at(9_000));
    assert_eq!(leases.last_sent(&server), at(6_250));
}

/// Guards against splitting slices without limit. On a day with many busy ranges, 167
/// servers had a thousand slices, and their renewal used up the planner's small machine:
/// it lost the leadership, and so did its successors. Above the limit only whole slices
/// move.
#[test]
fn with_enough_slices_none_is_cut() {
    let rates = [20.0; 19];
    let demand = skewed_demand(500, 2);
    let mut map = RangeMap::new();
    for number in 0..120_u16 {
        let owner = server(usize::from(number / 7).min(18));
        map.assign(range(number * 546, u16::MAX), &owner, None);
        // An adjacent slice of another owner prevents merging.
        map.assign(
            range(number * 546 + 273, u16::MAX),
            &server(usize::from((number + 9) % 19)),
            None,
        );
    }
    let slices = map.slices().len();
    let max_load = |map: &RangeMap| {
        loads(map, &demand)
            .values()
            .fold(0.0, |a: f64, b| a.max(*b))
    };
    let before = max_load(&map);
    apply_reassignments(&mut map, &demand, &rates, 3, false);
    assert!(map.slices().len() <= slices);
    let after = max_load(&map);
    assert!(
        after < before * 0.8,
        "{before} requests a second before, {after} after"
    );
}

/// Servers that are lost; all others serve.
struct LostServers<'a>(&'a [ServerName]);

impl Owners for LostServers<'_> {
    fn state(&self, server: &ServerName) -> OwnerState {
        match self.0.contains(server) {
            true => OwnerState::Leaving,
            false => OwnerState::Serving,
        }
    }
}

/// Guards against restarting the wait for a lost server's lease whenever the planner
/// changes. A new planner knows only its own grants; if it counted the wait from its own
/// start, the keys would have no owner for as long as planners change. The lease end that
/// the first planner wrote to the map applies to all later ones.
#[test]
fn a_new_planner_does_not_wait_for_a_lost_owner_anew() {
    let times = LeaseTimes::STANDARD;
    let at = |seconds: u64| Time::from_micros(seconds * 1_000_000);
    let (lost, other) = (server(1), server(2));
    let mut map = RangeMap::new();
    map.assign(range(0, 32_767), &lost, None);
    map.assign(range(32_768, u16::MAX), &other, None);
    let demand = Demand::default();
    let capacities: Vec<Capacity> = vec![Capacity {
        server: other.clone(),
        rate: 20.0,
        accepts_keys: true,
    }];
    let scope = PlanScope {
        may_assign: true,
        may_rebalance: false,
    };
    let mut clock = StoreClock::default();
    for planner in 0..3 {
        let begun = at(100 + planner * 5);
        let mut reconciler = Reconciler::new(map.clone(), LeaseTracker::new(times, begun));
        for second in 0..5 {
            let now = begun + Duration::from_secs(second);
            clock.record(now, now, StoreTime(7_000 + now.as_micros() / 1_000));
            let mut balancer = Balancer::new(BalanceLimits::STANDARD, &capacities, &demand);
            let lost = LostServers(std::slice::from_ref(&lost));
            for order in reconciler.tick(now, &clock, &lost, &mut balancer, scope) {
                let outcome = match &order {
                    Order::Release { .. } => OrderOutcome::NotSent,
                    _ => OrderOutcome::Done { handover: None },
                };
                reconciler.complete(&order, outcome, now);
            }
        }
        map = reconciler.map().clone();
    }
    assert!(at(115) > at(100) + times.max_validity());
    assert_eq!(map.slice(RangeKey(0)).owner, Some(other));
}

/// Servers whose process has ended, as a later one is known; all others serve.
struct EndedServers<'a>(&'a [ServerName]);

impl Owners for EndedServers<'_> {
    fn state(&self, server: &ServerName) -> OwnerState {
        if self.0.contains(server) {
            OwnerState::Ended
        } else {
            OwnerState::Serving
        }
    }
}

/// Planner of two servers, driven order by order.
struct TestPlanner {
    reconciler: Reconciler,
    ended: Vec<ServerName>,
    clock: StoreClock,
}

impl TestPlanner {
    /// Starts with the first half of the keys at server 1, the second at server 2.
    fn new() -> Self {
        let mut map = RangeMap::new();
        map.assign(range(0, 32_767), &server(1), None);
        map.assign(range(32_768, u16::MAX), &server(2), None);
        let leases = LeaseTracker::new(LeaseTimes::STANDARD, Time::ZERO);
        Self {
            reconciler: Reconciler::new(map, leases),
            ended: Vec::new(),
            clock: StoreClock::default(),
        }
    }

    /// Plans, and returns the orders that are due. Keys can move to server 2 only.
    fn tick(&mut self, now: Time) -> Vec<Order> {
        let demand = Demand::default();
        let capacities = [Capacity {
            server: server(2),
            rate: 20.0,
            accepts_keys: true,
        }];
        let mut balancer = Balancer::new(BalanceLimits::STANDARD, &capacities, &demand);
        let scope = PlanScope {
            may_assign: true,
            may_rebalance: false,
        };
        let ended = EndedServers(&self.ended);
        let reconciler = &mut self.reconciler;
        reconciler.tick(now, &self.clock, &ended, &mut balancer, scope)
    }

    fn complete(&mut self, order: &Order, outcome: OrderOutcome, now: Time) {
        self.reconciler.complete(order, outcome, now);
    }
}

const DONE: OrderOutcome = OrderOutcome::Done { handover: None };

fn is_release(order: &Order) -> bool {
    matches!(order, Order::Release { .. })
}

fn is_commit(order: &Order) -> bool {
    matches!(order, Order::Commit(_))
}

/// Guards against keys that become free with the end of their owner's process: the process that
/// has taken its address may hold them by a renewal that was meant for the former one.
#[test]
fn keys_of_an_ended_owner_wait_for_a_release_or_the_lease() {
    let times = LeaseTimes::STANDARD;
    let start = Time::from_micros(100_000_000);
    let after = |millis| start + Duration::from_millis(millis);
    for is_answered in [true, false] {
        let mut planner = TestPlanner::new();
        for order in planner.tick(start) {
            planner.complete(&order, DONE, start);
        }
        planner.ended.push(server(1));
        let orders = planner.tick(after(50));
        let release = orders.iter().find(|order| is_release(order)).cloned();
        let release = release.expect("a release");
        let commits = orders.iter().filter(|order| is_commit(order)).count();
        assert_eq!(commits, 0, "no release was answered: {orders:?}");
        if is_answered {
            planner.complete(&release, DONE, after(60));
            let orders = planner.tick(after(60));
            assert!(orders.iter().any(is_commit), "{orders:?}");
            continue;
        }
        let before_end = start + times.max_validity() - Duration::from_millis(1);
        assert!(!planner.tick(before_end).iter().any(is_commit));
        let orders = planner.tick(start + times.max_validity());
        assert!(orders.iter().any(is_commit), "{orders:?}");
    }
}

/// Guards against a grant that counts as not sent because an earlier one of the same keys was not:
/// its lease would not be waited for.
#[test]
fn the_late_outcome_of_a_grant_settles_no_other_one() {
    let times = LeaseTimes::STANDARD;
    let start = Time::from_micros(100_000_000);
    let after = |millis| start + Duration::from_millis(millis);
    let mut planner = TestPlanner::new();
    let earlier = planner.tick(start);
    let map = planner.reconciler.map().clone();
    planner.reconciler.reload(map);
    let later = planner.tick(after(400));
    assert_eq!((earlier.len(), later.len()), (2, 2));
    for order in earlier {
        planner.complete(&order, OrderOutcome::NotSent, after(500));
    }
    for order in later {
        planner.complete(&order, OrderOutcome::Unknown, after(600));
    }
    planner.ended.push(server(1));
    let orders = planner.tick(after(650));
    assert!(orders.iter().any(is_release), "{orders:?}");
    let end = after(400) + times.max_validity();
    let orders = planner.tick(end - Duration::from_millis(1));
    assert!(!orders.iter().any(is_commit), "{orders:?}");
    assert!(planner.tick(end).iter().any(is_commit));
}

/// Guards against a release that overtakes a grant of the same keys: their owner would reject the
/// grant, and the keys would wait for a new epoch.
#[test]
fn a_release_waits_for_the_outcome_of_a_grant() {
    let start = Time::from_micros(100_000_000);
    let after = |millis| start + Duration::from_millis(millis);
    for is_reloaded in [false, true] {
        let mut planner = TestPlanner::new();
        let grants = planner.tick(start);
        if is_reloaded {
            let map = planner.reconciler.map().clone();
            planner.reconciler.reload(map);
        }
        planner.ended.push(server(1));
        let orders = planner.tick(after(10));
        assert!(!orders.iter().any(is_release), "{orders:?}");
        for grant in &grants {
            planner.complete(grant, DONE, after(20));
        }
        let orders = planner.tick(after(20));
        assert!(orders.iter().any(is_release), "{orders:?}");
    }
}

/// Guards against a release that waits forever for the lost outcome of a grant.
#[test]
fn a_release_waits_no_longer_than_a_grant_may_travel() {
    let start = Time::from_micros(100_000_000);
    let end = start + LeaseTimes::STANDARD.max_transit();
    let mut planner = TestPlanner::new();
    planner.tick(start);
    planner.ended.push(server(1));
    assert!(!planner.tick(end).iter().any(is_release));
    let orders = planner.tick(end + Duration::from_millis(1));
    assert!(orders.iter().any(is_release), "{orders:?}");
}

/// Guards against a map from before a reload that comes back with the late outcome of its commit.
#[test]
fn the_late_outcome_of_a_commit_settles_no_other_one() {
    let start = Time::from_micros(100_000_000);
    let after = |millis| start + Duration::from_millis(millis);
    let mut planner = TestPlanner::new();
    let stored = planner.reconciler.map().clone();
    planner.ended.push(server(1));
    let mut commits = planner.tick(start);
    commits.extend(planner.tick(after(6_000)));
    planner.reconciler.reload(raised(&stored));
    commits.extend(planner.tick(after(7_000)));
    commits.extend(planner.tick(after(13_000)));
    commits.retain(is_commit);
    assert_eq!(commits.len(), 2, "{commits:?}");
    let before = planner.reconciler.map().clone();
    planner.complete(&commits[0], DONE, after(13_020));
    assert!(planner.reconciler.is_commit_open());
    assert_eq!(*planner.reconciler.map(), before);
    planner.complete(&commits[1], DONE, after(13_030));
    assert!(!planner.reconciler.is_commit_open());
    assert_eq!(Order::Commit(planner.reconciler.map().clone()), commits[1]);
}

/// The map with higher epochs, as another planner would have written it.
fn raised(map: &RangeMap) -> RangeMap {
    let mut raised = map.clone();
    raised.raise_to(Epoch(7));
    raised
}

/// Guards against an owner that keeps keys through a fence because the map tells the end of its
/// lease: the copy may lack a later grant to it.
#[test]
fn a_fence_releases_keys_whose_lease_is_to_end() {
    let mut map = RangeMap::new();
    map.assign(KeyRange::ALL, &server(1), None);
    map.set_expiry(KeyRange::ALL, StoreTime(5_000));
    assert!(map.has_reached(Epoch(7)));
    assert!(!map.is_above(Epoch(7)));
    let now = Time::from_micros(100_000_000);
    let mut fence = Fence::new(Epoch(7), GrantRecord::Lost);
    let nobody = EndedServers(&[]);
    fence.include(&map, &[], [&server(1)], &nobody, now);
    let orders = fence.orders(now, &nobody);
    let expected = Order::Release {
        server: server(1),
        range: KeyRange::ALL,
        epoch: Epoch(7),
    };
    assert_eq!(orders, [expected]);
}

/// Guards against a fence that ends before the table of servers was read in its era.
#[test]
fn a_fence_waits_until_servers_are_included() {
    let start = Time::from_micros(100_000_000);
    let after = |seconds| start + Duration::from_secs(seconds);
    let mut fence = Fence::new(Epoch(7), GrantRecord::Lost);
    assert!(!fence.is_done(after(60)));
    fence.include(&RangeMap::new(), &[], [], &EndedServers(&[]), after(60));
    assert!(!fence.is_done(after(61)));
    assert!(fence.is_done(after(63)));
}

/// Guards against keys that lose an owner that serves them to a server that has answered no
/// order, and against asking it without a pause, or never again after an outcome was lost.
#[test]
fn a_server_is_asked_less_often_until_it_answers() {
    let after = |millis| Time::ZERO + Duration::from_millis(millis);
    let asked = server(1);
    let mut probes = Probes::default();
    let mut asked_at = Vec::new();
    probes.set_servers([&asked], after(0));
    assert!(probes.has_untried());
    for millis in (0..9_000).step_by(10) {
        probes.set_servers([&asked], after(millis));
        if !probes.orders(after(millis)).is_empty() {
            asked_at.push(millis);
            if asked_at.len() != 3 {
                probes.complete(&asked, &OrderOutcome::Unknown, after(millis));
            }
        }
        assert!(!probes.has_answered(&asked));
    }
    assert!(!probes.has_untried());
    assert_eq!(asked_at, [0, 250, 750, 2_750, 4_750, 6_750, 8_750]);
    assert_eq!(probes.orders(after(10_750)).len(), 1);
    probes.complete(&asked, &DONE, after(10_750));
    assert!(probes.has_answered(&asked));
    probes.set_servers([], after(10_760));
    assert!(!probes.has_answered(&asked));
}
