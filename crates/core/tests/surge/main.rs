//! Ranges of keys that suddenly turn hot, in large and small deployments, in virtual
//! time.
//!
//! The planner's real code receives request reports and plans, and its orders are
//! executed as by servers under load: a server releases keys only after the requests on
//! them have ended. Requests for keys of an overloaded owner are rejected, so the tests
//! measure for how long and for what share of requests that lasts.

mod world;

use {
    citron_core::{
        ranges::{BalanceLimits, DemandWindows, RangeKey},
        registry::SendBounds,
        time::Time,
    },
    std::time::Duration,
    world::{Shape, World},
};

/// 413 servers; 200 of 60,000 items get 44% of the requests.
const LARGE: Shape = Shape {
    servers: 413,
    slots: 4,
    run_time: Duration::from_millis(520),
    requests: 2_110,
    items: 60_000,
    hot_items: 200,
    hot_share: 0.44,
    limits: BalanceLimits::STANDARD,
};

/// 19 servers; 6 of 4,000 items get 35% of the requests.
const SMALL: Shape = Shape {
    servers: 19,
    slots: 4,
    run_time: Duration::from_millis(220),
    requests: 173,
    items: 4_000,
    hot_items: 6,
    hot_share: 0.35,
    limits: BalanceLimits::STANDARD,
};

/// Time within which requests for any key should be served again, whatever has happened.
const SERVED_AGAIN: Duration = Duration::from_secs(2);

/// Runs one shape with several seeds. Returns the times until the hot range is spread,
/// shortest first.
fn spread_times(shape: Shape, seeds: u64) -> Vec<Duration> {
    let measure = |seed| World::new(shape, seed).measure_hot_range();
    let mut times: Vec<Duration> = (0..seeds).map(measure).collect();
    times.sort();
    times
}

/// Guards against a hot range that is divided too slowly. With 200 adjacent hot items on
/// one server and only 24 concurrent moves, each batch waited for the releases of the one
/// before, and requests were rejected for all of the five seconds that the range stayed
/// hot. Now as many moves start at once as there are servers to share the range.
#[test]
fn a_hot_range_is_divided_among_hundreds_of_servers_in_one_step() {
    let few_moves = Shape {
        limits: BalanceLimits {
            surge_per_server: 0.0,
            ..BalanceLimits::STANDARD
        },
        ..LARGE
    };
    let before = spread_times(few_moves, 2);
    assert!(
        before[0] > Duration::from_secs(3),
        "the limit on moves no longer delays the spread: {before:?}"
    );
    let after = spread_times(LARGE, 20);
    assert!(after[9] <= Duration::from_millis(1_000), "{after:?}");
    assert!(after[18] <= Duration::from_millis(1_500), "{after:?}");
}

/// Guards against late detection where requests are few: with 173 requests per second, a
/// range that turns hot must show within some dozen of them.
#[test]
fn a_hot_range_is_noticed_where_requests_are_few() {
    let times = spread_times(SMALL, 9);
    assert!(times[4] <= SERVED_AGAIN, "{times:?}");
}

/// Guards against tuning for two shapes only: slots, run times, shares, servers and items
/// vary.
#[test]
fn hot_ranges_of_other_deployments_are_spread() {
    let shapes = [
        (60, 2, 110, 500, 20, 0.4),
        (155, 3, 190, 1_300, 60, 0.35),
        (167, 4, 230, 1_900, 80, 0.35),
        (211, 2, 110, 2_400, 100, 0.4),
        (300, 8, 400, 3_000, 150, 0.3),
        (600, 4, 520, 3_000, 250, 0.4),
    ];
    for (servers, slots, run_time, requests, hot_items, hot_share) in shapes {
        let shape = Shape {
            servers,
            slots,
            run_time: Duration::from_millis(run_time),
            requests,
            hot_items,
            hot_share,
            ..LARGE
        };
        let times = spread_times(shape, 3);
        assert!(times[1] <= SERVED_AGAIN, "{servers}: {times:?}");
    }
}

/// Guards against slices that remain after a hot range. Each is renewed separately, and
/// after three hot ranges the limit on slices left no room to split the fourth. Slices
/// without demand must be merged again.
#[test]
fn slices_of_a_range_that_was_hot_are_joined_again() {
    let mut world = World::new(LARGE, 3);
    let initial = world.slices();
    for _ in 0..3 {
        world.measure_hot_range();
        world.run_without_hot_range(Duration::from_secs(12));
    }
    let after = world.slices();
    assert!(
        after < LARGE.servers * 2,
        "{initial} slices at first, {after} after three ranges"
    );
}

/// Guards against an overloaded server that blocks rebalancing. A range turns hot, and
/// shortly after a single key that exceeds every server's capacity. Its owner stays
/// overloaded in any case, and the range must still be spread.
#[test]
fn a_hot_range_is_spread_though_a_key_turns_hot_besides() {
    let measure = |seed| World::new(LARGE, seed).measure_hot_range_and_key();
    let mut times: Vec<Duration> = (0..9).map(measure).collect();
    times.sort();
    assert!(times[4] <= Duration::from_millis(1_500), "{times:?}");
}

/// Guards against a change that blocks planning forever. Nothing is planned while too few
/// requests of a change are known; if its callers leave at that point, no more requests
/// follow.
#[test]
fn a_change_whose_callers_leave_holds_no_plan_up() {
    let mut demand = DemandWindows::default();
    let mut now = Time::from_micros(1_000_000);
    let mut request = |demand: &mut DemandWindows, key: u16| {
        now = now + Duration::from_millis(5);
        demand.add(RangeKey(key), now);
        demand.detect_change(now);
        now
    };
    for number in 0..2_000_u16 {
        request(&mut demand, number.wrapping_mul(40_503));
    }
    let mut last = Time::ZERO;
    for _ in 0..200 {
        last = request(&mut demand, 7);
        if demand.is_settling(last) {
            break;
        }
    }
    assert!(demand.is_settling(last));
    assert!(!demand.is_settling(last + Duration::from_secs(1)));
}

/// Guards against moves based on random variation between short windows: without a hot
/// range next to nothing moves.
#[test]
fn chance_moves_next_to_nothing() {
    for shape in [LARGE, SMALL] {
        let mut world = World::new(shape, 5);
        let before = world.moved();
        world.run_without_hot_range(Duration::from_secs(20));
        let moved = world.moved() - before;
        assert!(moved < 20_000, "{moved} of 65,536 keys within 20 s");
    }
}

/// Guards against releasing keys during a store outage: the old owner has released them,
/// the move cannot be committed, and requests are rejected until the store returns. A
/// range that turns hot meanwhile stays where it is.
#[test]
fn nothing_is_released_for_balance_while_the_store_is_away() {
    let mut world = World::new(LARGE, 4);
    world.run_without_hot_range(Duration::from_secs(1));
    world.is_store_up = false;
    world.run_without_hot_range(Duration::from_secs(2));
    let before = world.moved();
    world.measure_hot_range();
    assert_eq!(world.moved(), before);
    world.is_store_up = true;
    let spread_time = world.measure_hot_range();
    assert!(
        spread_time <= SERVED_AGAIN,
        "{spread_time:?}, {} moves",
        world.moved() - before
    );
}

/// Guards against requests that are rejected at the end of an evacuation's time limit
/// because the keys of a third of the servers have no new owner yet. Covers deployments
/// of 5 to 400 servers with different slots, run times and loads.
#[test]
fn keys_leave_an_evacuated_domain_within_the_bound() {
    let bound =
        SendBounds::from_limits(Duration::from_millis(2_500), Duration::from_secs(5)).evacuation;
    let shapes = [
        (5, 2, 150, 20),
        (12, 4, 220, 80),
        (19, 4, 220, 173),
        (33, 2, 120, 250),
        (57, 4, 300, 400),
        (96, 3, 260, 500),
        (155, 3, 190, 1_400),
        (182, 3, 260, 1_083),
        (240, 8, 90, 2_500),
        (400, 3, 260, 2_400),
    ];
    let mut worst = Duration::ZERO;
    for (number, (servers, slots, run_time, requests)) in shapes.into_iter().enumerate() {
        let shape = Shape {
            servers,
            slots,
            run_time: Duration::from_millis(run_time),
            requests,
            ..SMALL
        };
        let duration = World::new(shape, number as u64).evacuate();
        assert!(duration < bound, "{servers} servers: {duration:?}");
        worst = worst.max(duration);
    }
    println!("worst of ten deployments: {worst:?}, bound {bound:?}");
}
