//! All that may turn a request away, asked in one place.

use {
    citron_core::{
        admission::{Admission, Ask, Guards, Part, Rate, SlotShare, Ticket, TryEnd, Turn},
        crash::Fingerprint,
        id::{Revision, ServerName, ShardBits, Slots, Weight},
        routing::{Point, Reason, RouteMap},
        table::{
            Changes, Fencing, KeyRule, MoveBudget, Objectives, Row, ServerRow, ServerState,
            ServiceRow, Table,
        },
        time::Time,
    },
    std::time::Duration,
};

const HELD: Duration = Duration::from_millis(20);
const ANSWERED: TryEnd = TryEnd::Answered { head: HELD };

fn at(millis: u64) -> Time {
    Time::ZERO + Duration::from_millis(millis)
}

fn server(number: usize) -> ServerName {
    format!("server-{number}").parse().unwrap()
}

fn service_row() -> ServiceRow {
    ServiceRow {
        name: "sets".parse().unwrap(),
        operator: "shop".parse().unwrap(),
        hosts: Vec::new(),
        prefix: "/".to_string(),
        key: KeyRule::Segment(0),
        idempotent: vec!["GET".to_string()],
        shards: ShardBits::new(2).unwrap(),
        deadline: Duration::from_secs(1),
        grace: Duration::from_secs(5),
        moves: MoveBudget {
            minute: 1,
            threshold: 120,
        },
        objectives: Objectives {
            failures: 1,
            latency: HELD,
            slower: 1,
        },
    }
}

fn server_row(number: usize) -> ServerRow {
    ServerRow {
        name: server(number),
        service: "sets".parse().unwrap(),
        domain: "domain-1".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        weight: Weight(100),
        cap: None,
        slots: Slots(4),
        connections: 100,
        fencing: Fencing::Unchecked,
        state: ServerState::Active,
    }
}

/// A service of six servers with four slots each, and one instance.
fn guards() -> Guards {
    let servers = (0..6).map(|n| Row::Server(server_row(n)));
    let rows = servers.chain([Row::Service(service_row())]);
    let change = |row: Row| (row.key(), Revision(1), Some(row));
    let mut table = Table::default();
    let changes = Changes {
        since: Revision(0),
        revision: Revision(1),
        rows: rows.map(change).collect(),
    };
    table.apply(changes).unwrap();
    let mut guards = Guards::new(30);
    guards.set_map(&RouteMap::build(&table), 1, Time::ZERO);
    guards
}

fn ask(ticket: u64, server_number: usize, millis: u64) -> Ask {
    Ask {
        service: "sets".parse().unwrap(),
        server: server(server_number),
        ticket: Ticket(ticket),
        print: Fingerprint(ticket),
        idempotent: true,
        deadline: at(millis + 1_000),
    }
}

fn reason(admission: Admission) -> Option<Reason> {
    match admission {
        Admission::Shed { reason, .. } => Some(reason),
        _ => None,
    }
}

/// A request crashes three servers; the next time its caller is told 422 at once.
/// Another request to the same server goes through.
#[test]
fn a_request_that_crashes_servers_is_refused() {
    let mut guards = guards();
    for millis in [0, 1_000, 2_000] {
        let bad = ask(666, 0, millis);
        assert_eq!(guards.ask(&bad, at(millis)), Admission::Start);
        let end = TryEnd::Lost(Point::Written);
        guards.end(&bad, "GET /sets/666", end, HELD, at(millis));
    }
    let refused = guards.ask(&ask(666, 1, 3_000), at(3_000));
    assert_eq!(reason(refused), Some(Reason::Quarantined));
    assert_eq!(guards.ask(&ask(7, 0, 3_000), at(3_000)), Admission::Start);
    assert_eq!(guards.crashes.entries(at(3_000))[0].label, "GET /sets/666");
}

/// What ends without a write to a live server is no crash, and what says nothing
/// about the server does not count against it.
#[test]
fn only_what_tells_against_server_or_request_counts() {
    let cases = [
        (TryEnd::Lost(Point::Unconnected), false, true),
        (TryEnd::Lost(Point::Connected), false, true),
        (TryEnd::Lost(Point::HeadPart), true, true),
        (TryEnd::Lost(Point::AnswerPart), true, true),
        (TryEnd::TimedOut, false, true),
        (TryEnd::Refused, false, false),
        (TryEnd::Other, false, false),
        (ANSWERED, false, false),
    ];
    for (end, crash, failure) in cases {
        let mut guards = guards();
        for ticket in 0..5 {
            let ask = ask(ticket, 0, 0);
            assert_eq!(guards.ask(&ask, at(0)), Admission::Start);
            guards.end(&ask, "", end, HELD, at(0));
        }
        assert_eq!(!guards.crashes.entries(at(0)).is_empty(), crash, "{end:?}");
        assert_eq!(guards.ejected().count() == 1, failure, "{end:?}");
    }
}

/// A server is ejected while its slots are free. Callers are told at once; the
/// one whose request is due as a probe is not. Three answers bring it back, with
/// a part of its slots.
#[test]
fn an_ejected_server_is_asked_for_by_probes_only() {
    let mut guards = guards();
    for ticket in 0..5 {
        guards.ask(&ask(ticket, 0, 0), at(0));
        guards.end(&ask(ticket, 0, 0), "", TryEnd::TimedOut, HELD, at(0));
    }
    let refused = guards.ask(&ask(10, 0, 0), at(0));
    let wait = Duration::from_secs(1);
    let reason = Reason::Ejected;
    assert_eq!(refused, Admission::Shed { reason, wait });
    for probe in 1..=3 {
        let now = 1_500 * probe;
        let ask = ask(10 + probe, 0, now);
        assert_eq!(guards.ask(&ask, at(now)), Admission::Start);
        guards.end(&ask, "", ANSWERED, HELD, at(now));
    }
    assert_eq!(guards.ejected().count(), 0);
    let now = 4_600;
    let asks = (20..30).map(|ticket| guards.ask(&ask(ticket, 0, now), at(now)));
    assert_eq!(asks.filter(|a| *a == Admission::Start).count(), 1);
}

/// A slot is freed and goes to the request that waits; the part and the cap come
/// from the exchange with other instances.
#[test]
fn slots_and_caps_are_those_of_the_part() {
    let mut guards = guards();
    let part = Part {
        share: SlotShare::new(1.0),
        cap: Some(Rate(2.0)),
    };
    guards.set_part(&server(0), part, at(0));
    let [first, second, third] = [1, 2, 3].map(|ticket| ask(ticket, 0, 0));
    assert_eq!(guards.ask(&first, at(0)), Admission::Start);
    assert_eq!(guards.ask(&second, at(0)), Admission::Queued);
    assert_eq!(reason(guards.ask(&third, at(0))), Some(Reason::Capped));
    assert_eq!(guards.next(&server(0), at(20)), None);
    guards.end(&first, "", ANSWERED, HELD, at(20));
    let turn = guards.next(&server(0), at(20));
    assert_eq!(turn, Some(Turn::Start(Ticket(2))));
    let demand = guards.demands(at(200))[&server(0)];
    assert!(demand.arrivals > demand.answers && demand.answers > Rate(0.0));
}

/// The operator of a service floods the instance; the requests of another one
/// find room, and those that are refused are told when to come back.
#[test]
fn an_operator_cannot_fill_the_instance() {
    let mut guards = guards();
    let (shop, depot) = ("shop".parse().unwrap(), "depot".parse().unwrap());
    while guards.enter(&shop) {}
    assert!(guards.enter(&depot));
    assert_eq!(reason(Guards::crowded()), Some(Reason::Crowded));
    guards.leave(&shop);
    guards.leave(&depot);
    assert!(guards.enter(&shop));
}
