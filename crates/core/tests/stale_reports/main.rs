//! Many instances before the servers of a service without keys, in virtual time.
//! Each instance knows what the others of its failure domain have at servers only
//! from reports, the newest of which is as old as a request is long; of the other
//! domains it knows nothing.

mod simulation;

use {
    citron_core::dispatch::sample_size,
    simulation::{Figures, Shape, Simulation},
    std::time::Duration,
};

/// 84 instances before 57 servers, whose reports come every 0.4 s.
const LARGE: Shape = Shape {
    domains: 3,
    instances: 28,
    servers: 19,
    slots: 4,
    run_time: Duration::from_millis(300),
    report_interval: Duration::from_millis(400),
    demand: 0.7,
    sample_size: 0,
    is_rate_limited: true,
    keeps_connections: true,
    is_sharded: false,
    objective: Duration::from_millis(1_000),
    shed_ratio: 0.0,
    reports_room: false,
};

/// Nine instances before six servers, with ten reports a second.
const SMALL: Shape = Shape {
    domains: 3,
    instances: 3,
    servers: 2,
    report_interval: Duration::from_millis(100),
    ..LARGE
};

/// 75 instances in five domains before 155 servers that own keys: each instance
/// hears of a fifth of the requests at a server.
const SHARDED: Shape = Shape {
    domains: 5,
    instances: 15,
    servers: 31,
    slots: 3,
    run_time: Duration::from_millis(190),
    report_interval: Duration::from_millis(200),
    is_rate_limited: false,
    is_sharded: true,
    objective: Duration::from_millis(600),
    ..LARGE
};

fn simulate(shape: Shape) -> Figures {
    let shape = Shape {
        sample_size: match shape.sample_size {
            0 => sample_size(shape.report_interval),
            set => set,
        },
        ..shape
    };
    Simulation::new(shape, 7).run_for(Duration::from_secs(40))
}

/// Callers ask for 0.7 of what the servers can run, and a tenth of them waits
/// beyond a second, where servers close each connection after its answer: all instances of a domain see the same server with free
/// slots, and send there until the next reports come 0.4 s later. With the better
/// one of two drawn at random they spread.
#[test]
fn old_reports_do_not_make_all_instances_choose_the_same_server() {
    let closing = Shape {
        keeps_connections: false,
        ..LARGE
    };
    let compare_all = simulate(Shape {
        sample_size: usize::MAX,
        ..closing
    });
    let compare_sample = simulate(closing);
    assert!(
        compare_all.served() < 0.95,
        "the fault does not occur: {compare_all}"
    );
    assert!(compare_sample.served() > 0.98, "{compare_sample}");
}

/// Callers ask for 1.3 times what the servers can run. Every instance sees room
/// at servers of other domains, where the instances there fill it. All queues are
/// full, and half of the answers are late. The limit follows the answers' times.
#[test]
fn demand_beyond_capacity_is_refused_and_the_rest_is_in_time() {
    let demand = 1.3;
    let unlimited = simulate(Shape {
        demand,
        is_rate_limited: false,
        ..LARGE
    });
    assert!(
        unlimited.served() < 0.55,
        "the fault does not occur: {unlimited}"
    );
    for shape in [LARGE, SMALL] {
        let limited = simulate(Shape { demand, ..shape });
        assert!(limited.served() > 0.65, "{limited}");
        assert!(limited.late() < 0.1, "{limited}");
    }
}

/// The limit must not cost anything while there is room for all.
#[test]
fn the_limit_refuses_next_to_nothing_below_capacity() {
    for shape in [LARGE, SMALL] {
        let figures = simulate(shape);
        assert!(figures.refused() < 0.01, "{figures}");
    }
}

/// Each new connection holds one of a server's slots for a moment, and 65 in 100
/// requests needed one: spread over 57 servers an instance asks each of them once
/// in two seconds. A kept connection decides between servers that are as good.
#[test]
fn kept_connections_are_used_where_the_service_has_room() {
    let large = simulate(LARGE);
    assert!(large.connections() < 0.15, "{large}");
    let small = simulate(SMALL);
    assert!(small.connections() < 0.15, "{small}");
}

/// Callers of keys are refused though their owner has a free slot. The instance
/// hears of a fifth of the requests there, and one that happens to be under way
/// stands for five: at 0.55 of the capacity 9 in 100 were refused. Those that are
/// not heard of count by their mean.
#[test]
fn one_request_at_an_owner_does_not_make_it_full() {
    let figures = simulate(Shape {
        demand: 0.55,
        ..SHARDED
    });
    assert!(figures.refused() < 0.03, "{figures}");
    assert!(figures.served() > 0.95, "{figures}");
}

/// Guards against instances that send next to nothing to servers which refuse half of what
/// they get at random, with slots free: every refusal counted as a late answer, and the
/// limit fell to its least. What servers tell of their load shows that they have room.
#[test]
fn servers_that_shed_at_random_go_on_getting_requests() {
    let shedding = Shape {
        demand: 0.6,
        shed_ratio: 0.55,
        ..LARGE
    };
    let without_room = simulate(shedding);
    let with_room = simulate(Shape {
        reports_room: true,
        ..shedding
    });
    assert!(
        without_room.served() < 0.3,
        "the fault does not occur: {without_room}"
    );
    // All that servers do not refuse at random.
    assert!(with_room.served() > 0.43, "{with_room}");
    assert!(with_room.refused() < 0.02, "{with_room}");
}
