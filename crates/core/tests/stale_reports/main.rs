//! Dispatch by many instances to the servers of a service, in virtual time, with outdated
//! load reports. An instance knows the load that other instances of its failure domain
//! put on a server only from reports, and the newest report is about as old as a request
//! takes. It knows nothing about the load from other domains.

mod simulation;

use {
    citron_core::dispatch::sample_size,
    simulation::{Figures, Shape, Simulation},
    std::time::Duration,
};

/// 84 instances that dispatch to 57 servers and report every 0.4 s.
const LARGE: Shape = Shape {
    domains: 3,
    instances: 28,
    servers: 19,
    slots: 4,
    run_time: Duration::from_millis(300),
    report_interval: Duration::from_millis(400),
    demand: 0.7,
    sample_size: 0,
    has_concurrency_limit: true,
    keeps_connections: true,
    is_sharded: false,
    objective: Duration::from_millis(1_000),
    shed_ratio: 0.0,
    reports_room: false,
};

/// Nine instances that dispatch to six servers and report ten times per second.
const SMALL: Shape = Shape {
    domains: 3,
    instances: 3,
    servers: 2,
    report_interval: Duration::from_millis(100),
    ..LARGE
};

/// 75 instances in five domains that dispatch to 155 servers that own keys. Each instance
/// gets reports on a fifth of the requests at a server.
const SHARDED: Shape = Shape {
    domains: 5,
    instances: 15,
    servers: 31,
    slots: 3,
    run_time: Duration::from_millis(190),
    report_interval: Duration::from_millis(200),
    has_concurrency_limit: false,
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

/// Guards against instances that all choose the same server. At a demand of 0.7 of the
/// capacity, with servers that close each connection after its response, a tenth of the
/// requests took longer than a second: all instances of a domain saw the same server with
/// free slots and sent requests there until the next reports, 0.4 s later. Choosing the
/// better of two random servers spreads the requests.
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

/// Guards against full queues under overload. At a demand of 1.3 of the capacity, every
/// instance sees free slots at servers of other domains, which the instances there fill.
/// All queues were full, and half of the responses were late. The concurrency limit,
/// which follows response times, prevents this.
#[test]
fn demand_beyond_capacity_is_refused_and_the_rest_is_in_time() {
    let demand = 1.3;
    let unlimited = simulate(Shape {
        demand,
        has_concurrency_limit: false,
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

/// Guards against a concurrency limit that rejects requests although there is capacity
/// for all of them.
#[test]
fn the_limit_refuses_next_to_nothing_below_capacity() {
    for shape in [LARGE, SMALL] {
        let figures = simulate(shape);
        assert!(figures.refused() < 0.01, "{figures}");
    }
}

/// Guards against a new connection for most requests. Each new connection briefly
/// occupies one of a server's slots, and 65 in 100 requests needed one, because an
/// instance that spreads its requests over 57 servers uses each of them once in two
/// seconds. A kept connection now decides between servers that are otherwise equal.
#[test]
fn kept_connections_are_used_where_the_service_has_room() {
    let large = simulate(LARGE);
    assert!(large.connections() < 0.15, "{large}");
    let small = simulate(SMALL);
    assert!(small.connections() < 0.15, "{small}");
}

/// Guards against rejected requests although the key's owner has a free slot. An instance
/// gets reports on a fifth of the requests at the owner, and counting each reported
/// request five times rejected 9 in 100 requests at 0.55 of the capacity. The unreported
/// requests now count with their mean.
#[test]
fn one_request_at_an_owner_does_not_make_it_full() {
    let figures = simulate(Shape {
        demand: 0.55,
        ..SHARDED
    });
    assert!(figures.refused() < 0.03, "{figures}");
    assert!(figures.served() > 0.95, "{figures}");
}

/// Guards against instances that send almost no requests to servers that randomly reject
/// half of them while slots are free. Every rejection counted as a late response, and the
/// concurrency limit fell to its minimum. The load that servers report with a rejection
/// shows that they have room.
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
    // All requests that the servers do not reject at random.
    assert!(with_room.served() > 0.43, "{with_room}");
    assert!(with_room.refused() < 0.02, "{with_room}");
}
