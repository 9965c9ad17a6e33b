//! Many instances before the servers of a service without keys, in virtual time.
//! Each instance knows what the others of its failure domain have at servers only
//! from reports, the newest of which is as old as a request is long; of the other
//! domains it knows nothing.

mod simulation;

use {
    citron_core::dispatch::sample_size,
    simulation::{Figures, Shape, World},
    std::time::Duration,
};

/// 84 instances before 57 servers, whose reports come every 0.4 s.
const LARGE: Shape = Shape {
    domains: 3,
    instances: 28,
    servers: 19,
    slots: 4,
    run: Duration::from_millis(300),
    report: Duration::from_millis(400),
    demand: 0.7,
    sample_size: 0,
    paced: true,
    keeps: true,
    keyed: false,
    objective: Duration::from_millis(1_000),
    shed: 0.0,
    tells: false,
};

/// Nine instances before six servers, with ten reports a second.
const SMALL: Shape = Shape {
    domains: 3,
    instances: 3,
    servers: 2,
    report: Duration::from_millis(100),
    ..LARGE
};

/// 75 instances in five domains before 155 servers that own keys: each instance
/// hears of a fifth of the requests at a server.
const KEYED: Shape = Shape {
    domains: 5,
    instances: 15,
    servers: 31,
    slots: 3,
    run: Duration::from_millis(190),
    report: Duration::from_millis(200),
    paced: false,
    keyed: true,
    objective: Duration::from_millis(600),
    ..LARGE
};

fn played(shape: Shape) -> Figures {
    let shape = Shape {
        sample_size: match shape.sample_size {
            0 => sample_size(shape.report),
            set => set,
        },
        ..shape
    };
    World::new(shape, 7).play(Duration::from_secs(40))
}

/// Callers ask for 0.7 of what the servers can run, and a tenth of them waits
/// beyond a second, where servers close each connection after its answer: all instances of a domain see the same server with free
/// slots, and send there until the next reports come 0.4 s later. With the better
/// one of two drawn at random they spread.
#[test]
fn old_reports_do_not_make_all_instances_choose_the_same_server() {
    let closing = Shape {
        keeps: false,
        ..LARGE
    };
    let all = played(Shape {
        sample_size: usize::MAX,
        ..closing
    });
    let few = played(closing);
    assert!(all.served() < 0.95, "the pattern is gone: {all}");
    assert!(few.served() > 0.98, "{few}");
}

/// Callers ask for 1.3 times what the servers can run. Every instance sees room
/// at servers of other domains, where the instances there fill it. All queues are
/// full, and half of the answers are late. The limit follows the answers' times.
#[test]
fn demand_beyond_capacity_is_refused_and_the_rest_is_in_time() {
    let demand = 1.3;
    let unpaced = played(Shape {
        demand,
        paced: false,
        ..LARGE
    });
    assert!(unpaced.served() < 0.55, "the pattern is gone: {unpaced}");
    for shape in [LARGE, SMALL] {
        let paced = played(Shape { demand, ..shape });
        assert!(paced.served() > 0.65, "{paced}");
        assert!(paced.late() < 0.1, "{paced}");
    }
}

/// The limit must not cost anything while there is room for all.
#[test]
fn the_limit_refuses_next_to_nothing_below_capacity() {
    for shape in [LARGE, SMALL] {
        let figures = played(shape);
        assert!(figures.refused() < 0.01, "{figures}");
    }
}

/// Each new connection holds one of a server's slots for a moment, and 65 in 100
/// requests needed one: spread over 57 servers an instance asks each of them once
/// in two seconds. A kept connection decides between servers that are as good.
#[test]
fn kept_connections_are_used_where_the_service_has_room() {
    let large = played(LARGE);
    assert!(large.connections() < 0.15, "{large}");
    let small = played(SMALL);
    assert!(small.connections() < 0.15, "{small}");
}

/// Callers of keys are refused though their owner has a free slot. The instance
/// hears of a fifth of the requests there, and one that happens to be under way
/// stands for five: at 0.55 of the capacity 9 in 100 were refused. Those that are
/// not heard of count by their mean.
#[test]
fn one_request_at_an_owner_does_not_make_it_full() {
    let figures = played(Shape {
        demand: 0.55,
        ..KEYED
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
        shed: 0.55,
        ..LARGE
    };
    let untold = played(shedding);
    let told = played(Shape {
        tells: true,
        ..shedding
    });
    assert!(untold.served() < 0.3, "the pattern is gone: {untold}");
    // All that servers do not refuse at random.
    assert!(told.served() > 0.43, "{told}");
    assert!(told.refused() < 0.02, "{told}");
}
